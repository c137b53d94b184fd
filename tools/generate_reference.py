"""Write the reference pages that are made from code: result codes and settings.

Run ``python -m tools.generate_reference`` to write, and add ``--check`` to compare.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from bronzesail.errors import ResultCode, describe_code

ROOT = Path(__file__).parent.parent
REFERENCE = ROOT / "docs" / "reference"
SETTINGS_SCHEMA = ROOT / "bronzesail" / "schema" / "settings.json"
RULE_TEXTS = {
    "minimum": "at least {}",
    "maximum": "at most {}",
    "minLength": "at least {} characters",
    "maxLength": "at most {} characters",
    "pattern": "matches `{}`",
    "enum": "one of {}",
}


def render_result_codes() -> str:
    """Return the page of result codes."""
    lines = ["# Result codes", ""]
    lines += ["Callers and operators see a code as `BZ` and its number.", ""]
    lines += ["| code | name | HTTP status | meaning | advice |"]
    lines += ["|---|---|---|---|---|"]
    for code in ResultCode:
        text = describe_code(code)
        cells = [f"BZ{int(code)}", code.name, str(text.http_status)]
        cells += [text.meaning, text.advice]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def render_settings() -> str:
    """Return the page of settings."""
    schema = json.loads(SETTINGS_SCHEMA.read_text())
    lines = ["# Settings", ""]
    lines += ["A router reads one INI file. A value `env:NAME` is read from the"]
    lines += ["environment variable `NAME`.", ""]
    for name, spec in schema["$defs"].items():
        lines += [f"## [{name.removesuffix('Section').lower()}]", ""]
        lines += [spec["description"], ""]
        lines += ["| key | type | default | rule | meaning |", "|---|---|---|---|---|"]
        for key, prop in spec["properties"].items():
            lines.append(f"| {' | '.join(_list_cells(key, prop))} |")
        lines.append("")
    return "\n".join(lines[:-1]) + "\n"


def _list_cells(key: str, prop: dict[str, Any]) -> list[str]:
    default = f"`{prop['default']}`" if "default" in prop else "required"
    rules = [text.format(prop[r]) for r, text in RULE_TEXTS.items() if r in prop]
    kind = str(prop.get("type", "string"))
    return [f"`{key}`", kind, default, ", ".join(rules) or "none", prop["description"]]


def main() -> int:
    """Write the pages, or with ``--check`` compare them."""
    pages = {
        REFERENCE / "result-codes.md": render_result_codes(),
        REFERENCE / "settings.md": render_settings(),
    }
    stale = 0
    for path, text in pages.items():
        if path.exists() and path.read_text() == text:
            continue
        if "--check" in sys.argv:
            print(f"{path.name} is out of step: run make reference")
            stale = 1
            continue
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    return stale


if __name__ == "__main__":
    sys.exit(main())
