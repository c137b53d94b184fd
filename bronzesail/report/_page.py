"""Render a router's state as a self-contained HTML page without scripts."""

from __future__ import annotations

import html
import string
from typing import Any

__all__ = ["render_page"]

PAGE_TEMPLATE = string.Template("""\
<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>bronzesail: $host</title>
<style>
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; color: #222; }
table { border-collapse: collapse; margin: 0.5em 0 1.5em; width: 100%; }
th, td { border-bottom: 1px solid #ccc; padding: 0.3em 0.6em; text-align: left; }
th.number, td.number { text-align: right; font-variant-numeric: tabular-nums; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Router $host</h1>
<p>$summary</p>
<h2>Routers</h2>
$members
<h2>Services</h2>
$services
<h2>Grants of this router, in tokens</h2>
$grants
<h2>Histograms</h2>
$plots
</body>
</html>
""")


def render_page(status: dict[str, Any], plots: list[str]) -> str:
    """Return the HTML page of a router's status.

    Parameters
    ----------
    status : dict
        Response of the operator API to ``GET /status``.
    plots : list of str
        SVG elements.

    Returns
    -------
    str
        The HTML document.
    """
    own = status["router"]
    state = "ready" if status["is_ready"] else "not ready"
    summary = (
        f"{own['data_centre']}, {own['region']}; {state}; configuration version "
        f"{status['configuration_version']}; preference {status['preference']}; "
        f"program {status['program_version']}."
    )
    return PAGE_TEMPLATE.substitute(
        host=html.escape(own["host"]),
        summary=html.escape(summary),
        members=_render_members([own, *status["peers"]]),
        services=_render_services(status["services"]),
        grants=_render_grants(status["grants"]),
        plots="\n".join(plots) or "<p>No request has been served yet.</p>",
    )


def _render_members(members: list[dict[str, Any]]) -> str:
    rows = [
        [
            member["host"],
            member["data_centre"],
            member["region"],
            "leaving" if member["is_leaving"] else "live",
        ]
        for member in members
    ]
    return _render_table(["host", "data centre", "region", "state"], rows)


def _render_services(services: list[dict[str, Any]]) -> str:
    rows: list[list[Any]] = []
    for service in services:
        servers = service["backend_servers"]
        leaving = [server["host"] for server in servers if server["is_leaving"]]
        rows.append([service["service"], len(servers), ", ".join(leaving) or "none"])
    return _render_table(["service", "backend servers", "leaving"], rows)


def _render_grants(grants: list[dict[str, Any]]) -> str:
    rows = [
        [
            f"{grant['account']}/{grant['budget']}",
            grant["prepaid_tokens"],
            grant["settled_tokens"],
            grant["held_tokens"],
            grant["own_grant_tokens"],
            grant["own_reserved_tokens"],
        ]
        for grant in grants
    ]
    column_names = ["budget", "prepaid", "settled", "held", "own grant", "reserved"]
    return _render_table(column_names, rows)


def _render_table(column_names: list[str], rows: list[list[Any]]) -> str:
    if not rows:
        return "<p>None.</p>"
    header_cells = [
        _render_header_cell(name, value)
        for name, value in zip(column_names, rows[0], strict=True)
    ]
    lines = [f"<table><tr>{''.join(header_cells)}</tr>"]
    for row in rows:
        lines.append(f"<tr>{''.join(_render_cell(value) for value in row)}</tr>")
    return "\n".join([*lines, "</table>"])


def _render_header_cell(name: str, first_value: Any) -> str:
    attribute = ' class="number"' if isinstance(first_value, int) else ""
    return f"<th{attribute}>{html.escape(name)}</th>"


def _render_cell(value: Any) -> str:
    if isinstance(value, int):
        return f'<td class="number">{value:,}</td>'
    return f"<td>{html.escape(str(value))}</td>"
