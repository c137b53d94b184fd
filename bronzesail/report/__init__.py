"""Static HTML report of a router's state, with plots of its histograms."""

from __future__ import annotations

from ._page import render_page
from ._plots import PlotsUnavailableError, draw_histograms

__all__ = ["PlotsUnavailableError", "draw_histograms", "render_page"]
