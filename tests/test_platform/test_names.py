"""Names of the platform's wire format are used in the adapter package only."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "bronzesail"
ADAPTER = PACKAGE / "platform"
FIELD_PATTERN = re.compile(r'"([a-z]+[A-Z][A-Za-z]*)"')
HEADER_PATTERN = re.compile(r"\b((?:x|kv)-[a-z-]+[a-z])\b", re.IGNORECASE)
CALL_PATTERN = re.compile(r"(/(?:rows|blob|kv|hold)-[a-z]+|/readyz|op/config)")


def read_sources(folder):
    return {path: path.read_text(encoding="utf-8") for path in folder.rglob("*.py")}


def collect_names():
    names = set()
    for text in read_sources(ADAPTER).values():
        for pattern in (FIELD_PATTERN, HEADER_PATTERN, CALL_PATTERN):
            names.update(match.lower() for match in pattern.findall(text))
    return names


def test_patterns_find_wire_names_in_the_adapter():
    assert {"rowversion", "timeoutms", "x-attempt-id", "/rows-tx"} <= collect_names()


def test_no_wire_name_is_used_outside_the_adapter():
    names = collect_names()
    found = []
    for path, text in read_sources(PACKAGE).items():
        if ADAPTER in path.parents:
            continue
        used = {
            m.lower()
            for p in (FIELD_PATTERN, HEADER_PATTERN, CALL_PATTERN)
            for m in p.findall(text)
        }
        found += [f"{path.name}: {name}" for name in sorted(used & names)]
    assert found == []


def test_packages_have_no_circular_imports():
    """Checks the packages of the router process that runs on the platform."""
    packages = ("model", "errors", "platform", "router")
    imports = {}
    for package in packages:
        text = "\n".join(read_sources(PACKAGE / package).values())
        found = set(re.findall(r"^\s*from \.\.(\w+)", text, re.MULTILINE))
        imports[package] = found & set(packages) - {package}
    order = []
    while imports:
        importable = [
            package
            for package, dependencies in imports.items()
            if dependencies <= set(order)
        ]
        assert importable, f"circular imports among {sorted(imports)}"
        order += importable
        for package in importable:
            del imports[package]
