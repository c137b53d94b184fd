"""Names of the platform's wire stand in the adapter only."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "bronzesail"
ADAPTER = PACKAGE / "platform"
FIELD = re.compile(r'"([a-z]+[A-Z][A-Za-z]*)"')
HEADER = re.compile(r"\b((?:x|kv)-[a-z-]+[a-z])\b", re.IGNORECASE)
CALL = re.compile(r"(/(?:rows|blob|kv|hold)-[a-z]+|/readyz|op/config)")


def read_sources(folder):
    return {path: path.read_text(encoding="utf-8") for path in folder.rglob("*.py")}


def collect_names():
    names = set()
    for text in read_sources(ADAPTER).values():
        for pattern in (FIELD, HEADER, CALL):
            names.update(match.lower() for match in pattern.findall(text))
    return names


def test_names_are_found():
    assert {"rowversion", "timeoutms", "x-attempt-id", "/rows-tx"} <= collect_names()


def test_no_name_of_the_wire_stands_outside_the_adapter():
    names = collect_names()
    found = []
    for path, text in read_sources(PACKAGE).items():
        if ADAPTER in path.parents:
            continue
        used = {m.lower() for p in (FIELD, HEADER, CALL) for m in p.findall(text)}
        found += [f"{path.name}: {name}" for name in sorted(used & names)]
    assert found == []


def test_packages_do_not_import_each_other_in_a_circle():
    """Among the packages of the router on the platform."""
    packages = ("model", "errors", "platform", "router")
    imports = {}
    for package in packages:
        text = "\n".join(read_sources(PACKAGE / package).values())
        found = set(re.findall(r"^\s*from \.\.(\w+)", text, re.MULTILINE))
        imports[package] = found & set(packages) - {package}
    order = []
    while imports:
        free = [package for package, needs in imports.items() if needs <= set(order)]
        assert free, f"circle among {sorted(imports)}"
        order += free
        for package in free:
            del imports[package]
