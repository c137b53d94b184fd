"""Generate attrs classes from the JSON Schema files in ``bronzesail/schema``.

No generator on the package registry emits attrs classes, so this small one does.
Run ``python -m tools.generate_schema`` to write, and add ``--check`` to compare.
"""

from __future__ import annotations

import json
import subprocess
import sys
import textwrap
from pathlib import Path
from typing import Any

SCHEMA_DIR = Path(__file__).parent.parent / "bronzesail" / "schema"
SCALARS = {"integer": "int", "number": "float", "string": "str", "boolean": "bool"}
VALIDATORS = {
    "minimum": "ge",
    "maximum": "le",
    "minLength": "min_len",
    "maxLength": "max_len",
    "pattern": "matches_re",
    "enum": "in_",
}
LINE_WIDTH = 88


def name_type(spec: dict[str, Any]) -> str:
    """Return the Python annotation of one JSON Schema property.

    Parameters
    ----------
    spec : dict
        The property's schema.

    Returns
    -------
    str
        The annotation.

    Examples
    --------
    >>> name_type({"type": "array", "items": {"type": "integer"}})
    'tuple[int, ...]'
    """
    if "$ref" in spec:
        return str(spec["$ref"]).rsplit("/", 1)[-1]
    if spec.get("contentEncoding") == "binary":
        return "bytes"
    if spec["type"] == "array":
        return f"tuple[{name_type(spec['items'])}, ...]"
    return SCALARS[spec["type"]]


def render_default(spec: dict[str, Any]) -> str:
    """Return the default and rules of a property as source text, or nothing."""
    validators = [
        f"attrs.validators.{name}({spec[rule]!r})"
        for rule, name in VALIDATORS.items()
        if rule in spec
    ]
    default = _render_value(spec)
    if not validators:
        return f" = {default}" if default else ""
    arguments = [f"default={default}"] if default else []
    arguments.append(f"validator=[{', '.join(validators)}]")
    return f" = attrs.field({', '.join(arguments)})"


def _render_value(spec: dict[str, Any]) -> str:
    if "default" not in spec:
        return ""
    value = spec["default"]
    if isinstance(value, list):
        return "()"
    if spec.get("contentEncoding") == "binary":
        return repr(value.encode())
    return repr(value)


def render_class(name: str, spec: dict[str, Any]) -> list[str]:
    """Return the source lines of one attrs class."""
    lines = ["", "", "@attrs.frozen", f"class {name}:"]
    lines += _wrap(spec["description"], '    """', "    ")
    if spec["properties"]:
        lines += ["", "    Attributes", "    ----------"]
    for field, prop in spec["properties"].items():
        lines.append(f"    {field} : {name_type(prop)}")
        lines += _wrap(prop["description"], "        ", "        ")
    lines += ['    """', ""]
    if "x-code" in spec:
        lines.append(f"    CODE: ClassVar[int] = {spec['x-code']}")
        lines.append("")
    for field, prop in spec["properties"].items():
        lines.append(f"    {field}: {name_type(prop)}{render_default(prop)}")
    return lines


def _wrap(text: str, first: str, rest: str) -> list[str]:
    return textwrap.wrap(text, LINE_WIDTH, initial_indent=first, subsequent_indent=rest)


def render_module(schema: dict[str, Any], source: str) -> str:
    """Return the source text of the module generated from one schema file.

    Parameters
    ----------
    schema : dict
        The parsed schema file.
    source : str
        The schema file's name.

    Returns
    -------
    str
        Python source text.
    """
    body: list[str] = []
    names = list(schema["$defs"])
    for name, spec in schema["$defs"].items():
        body += render_class(name, spec)
    has_codes = any("x-code" in spec for spec in schema["$defs"].values())
    head = [f'"""{schema["description"]} Generated from {source}; do not edit."""']
    head += ["", "from __future__ import annotations", ""]
    head += ["from typing import ClassVar", ""] if has_codes else []
    head += ["import attrs", ""] if names else []
    for module, imported in schema.get("x-imports", {}).items():
        head += [f"from .{module} import {', '.join(imported)}"]
    head += ["", f"__all__ = {json.dumps(sorted(names))}"]
    return "\n".join(head + body) + "\n"


def format_source(text: str) -> str:
    """Return source text with sorted imports and as ruff formats it."""
    text = _run_ruff(text, "check", "--fix", "--quiet", "--exit-zero", "--select", "I")
    return _run_ruff(text, "format")


def _run_ruff(text: str, *arguments: str) -> str:
    command = [sys.executable, "-m", "ruff", *arguments]
    command += ["--stdin-filename", str(SCHEMA_DIR / "_generated.py"), "-"]
    result = subprocess.run(
        command, input=text, capture_output=True, text=True, check=True
    )
    return result.stdout


def render_package(names_by_stem: dict[str, list[str]]) -> str:
    """Return the source text of the package module that exports every class."""
    lines = ['"""Messages, rows and settings, generated from the schema files."""']
    lines += ["", "from __future__ import annotations", ""]
    for stem, names in names_by_stem.items():
        if not names:
            continue
        lines.append(f"from ._{stem} import ({', '.join(sorted(names))},)")
    every = sorted(name for names in names_by_stem.values() for name in names)
    lines += ["", f"__all__ = [{', '.join(map(json.dumps, every))},]"]
    return "\n".join(lines) + "\n"


def render_all() -> dict[Path, str]:
    """Return the text of each generated file, by path."""
    texts: dict[Path, str] = {}
    names_by_stem: dict[str, list[str]] = {}
    for path in sorted(SCHEMA_DIR.glob("*.json")):
        schema = json.loads(path.read_text())
        text = render_module(schema, path.name)
        texts[SCHEMA_DIR / f"_{path.stem}.py"] = format_source(text)
        names_by_stem[path.stem] = list(schema["$defs"])
    texts[SCHEMA_DIR / "__init__.py"] = format_source(render_package(names_by_stem))
    return texts


def main() -> int:
    """Write the generated modules, or with ``--check`` compare them."""
    check = "--check" in sys.argv
    stale = 0
    for target, text in render_all().items():
        if target.exists() and target.read_text() == text:
            continue
        if not check:
            target.write_text(text)
            continue
        print(f"{target.name} is out of step with its schema: run make schema")
        stale = 1
    return stale


if __name__ == "__main__":
    sys.exit(main())
