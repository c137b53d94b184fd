"""Draw metric histograms as SVG."""

from __future__ import annotations

import io
from typing import Any

__all__ = ["PlotsUnavailableError", "draw_histograms"]

FIGURE_WIDTH_INCH = 7.5
FIGURE_HEIGHT_INCH = 2.6


class PlotsUnavailableError(Exception):
    """Raised if the plotting library is not installed."""


def draw_histograms(histograms: list[dict[str, Any]]) -> list[str]:
    """Return one SVG plot for each histogram.

    Parameters
    ----------
    histograms : list of dict
        Histograms from the operator API's response to ``GET /histograms``.

    Returns
    -------
    list of str
        SVG elements.

    Raises
    ------
    PlotsUnavailableError
        If matplotlib is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        text = "plots need matplotlib: install bronzesail[report]"
        raise PlotsUnavailableError(text) from error
    plots: list[str] = []
    for histogram in histograms:
        figure = Figure(figsize=(FIGURE_WIDTH_INCH, FIGURE_HEIGHT_INCH))
        _draw_histogram(figure.subplots(), histogram)
        figure.tight_layout()
        plots.append(_render_svg(figure))
    return plots


def _draw_histogram(axes: Any, histogram: dict[str, Any]) -> None:
    limits = [bucket["upper_bound"] for bucket in histogram["buckets"]]
    counts = _compute_bucket_counts(histogram["buckets"])
    positions = range(len(counts))
    axes.bar(positions, counts, width=0.9, color="#4a6fa5")
    axes.set_xticks(list(positions), [f"≤ {limit}" for limit in limits], rotation=45)
    axes.tick_params(labelsize=7)
    axes.set_ylabel("requests", fontsize=8)
    axes.set_xlabel(histogram["unit"], fontsize=8)
    labels = ", ".join(f"{key} {value}" for key, value in histogram["labels"].items())
    axes.set_title(f"{histogram['title']} ({labels})", fontsize=9)


def _compute_bucket_counts(buckets: list[dict[str, Any]]) -> list[int]:
    counts: list[int] = []
    previous_cumulative_count = 0
    for bucket in buckets:
        counts.append(bucket["cumulative_count"] - previous_cumulative_count)
        previous_cumulative_count = bucket["cumulative_count"]
    return counts


def _render_svg(figure: Any) -> str:
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg")
    text = buffer.getvalue()
    return text[text.index("<svg") :]
