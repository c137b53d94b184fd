"""Compares the capacity page's figures with the last benchmark's.

``python -m tools.check_capacity`` ends 1 if a figure differs or is missing;
``--write`` puts the benchmark's figures into the page.
"""

from __future__ import annotations

import json
import re
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "benchmarks" / "results" / "capacity.json"
FIGURE = re.compile(r"^\| `(slopes|letter|today)\.(\w+)` \| ([^|]*) \|", re.MULTILINE)

Figures = dict[str, dict[str, float]]


def format_figure(value: float) -> str:
    """Return a figure as the page shows it.

    Parameters
    ----------
    value : float
        The figure.

    Returns
    -------
    str
        At most four digits after the point, thousands apart.

    Examples
    --------
    >>> format_figure(12345.678)
    '12,346'
    >>> format_figure(0.0612)
    '0.061'
    """
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3f}".rstrip("0").rstrip(".")


def find_differences(page: str, figures: Figures) -> list[str]:
    """Return what differs between a page and the figures.

    Parameters
    ----------
    page : str
        Text of the page.
    figures : dict
        Figures by group and name.

    Returns
    -------
    list of str
        One sentence each; empty if the page is in step.
    """
    differences = []
    seen = set()
    for group, name, text in FIGURE.findall(page):
        seen.add((group, name))
        value = figures.get(group, {}).get(name)
        if value is None:
            differences.append(f"{group}.{name} is not in the results")
            continue
        if text.strip() != format_figure(value):
            expected = format_figure(value)
            differences.append(f"{group}.{name} is {expected}, not {text.strip()}")
    for group in ("slopes", "letter"):
        for name in figures.get(group, {}):
            if (group, name) not in seen:
                differences.append(f"{group}.{name} is not on the page")
    return differences


def write_figures(page: str, figures: Figures) -> str:
    """Return the page with the figures filled in.

    Parameters
    ----------
    page : str
        Text of the page.
    figures : dict
        Figures by group and name.

    Returns
    -------
    str
        The new text.
    """

    def fill(match: re.Match[str]) -> str:
        group, name = match[1], match[2]
        value = figures.get(group, {}).get(name)
        text = match[3] if value is None else format_figure(value)
        return f"| `{group}.{name}` | {text} |"

    return FIGURE.sub(fill, page)


def main() -> int:
    """Check or write the page."""
    figures: Figures = json.loads(RESULTS.read_text())["bronzesail"]
    page = PAGE.read_text()
    if "--write" in sys.argv[1:]:
        page = write_figures(page, figures)
        PAGE.write_text(page)
    differences = find_differences(page, figures)
    for text in differences:
        print(f"docs/CAPACITY.md: {text}")
    return 1 if differences else 0


if __name__ == "__main__":
    sys.exit(main())
