"""Archive of modules that follows the launcher in the binary."""

from __future__ import annotations

import importlib.machinery
import importlib.util
import io
import marshal
import shutil
import subprocess
import tempfile
import zipfile
from pathlib import Path
from typing import TYPE_CHECKING

from ._libraries import order_libraries
from .memory_importer import LIBRARY_DIRECTORY

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Archive"]

UNCHECKED_HASH_FLAGS = 0b01
# The oldest time that the format holds; a fixed one makes builds repeatable.
MEMBER_TIME = (1980, 1, 1, 0, 0, 0)
# Read before the decompressor can be imported.
BOOTSTRAP_MEMBERS = (
    "__future__.",
    "encodings/",
    "extension_index.",
    "importlib/",
    "memory_importer.",
    "warnings.",
    "zlib.",
    f"{LIBRARY_DIRECTORY}/libz.",
)
INDEX_TEMPLATE = '"""Extension modules of this archive."""\n\n{body}\n'


class Archive:
    """Archive in the making.

    Members are byte code without source, stripped shared objects and data files.
    """

    def __init__(self) -> None:
        self._members: dict[str, bytes] = {}
        self._extensions: dict[str, str] = {}
        self._libraries: dict[str, list[str]] = {}

    def add_tree(self, root: Path, files: Iterable[Path]) -> None:
        """Add source files and extension modules below an import root."""
        for file in sorted(files):
            member = file.relative_to(root).as_posix()
            if file.suffix == ".py":
                self.add_source(member, file.read_bytes())
                continue
            if file.suffix == ".so":
                self.add_extension(member, file)
                continue
            self._members[member] = file.read_bytes()

    def add_source(self, member: str, source: bytes) -> None:
        """Add a module as byte code that is never checked against its source."""
        code = compile(source, member, "exec", dont_inherit=True, optimize=0)
        header = importlib.util.MAGIC_NUMBER
        header += UNCHECKED_HASH_FLAGS.to_bytes(4, "little")
        header += importlib.util.source_hash(source)
        self._members[f"{member}c"] = header + marshal.dumps(code)

    def add_extension(self, member: str, file: Path) -> None:
        """Add an extension module and the shared libraries that it needs."""
        name = _get_module_name(member)
        self._extensions[name] = member
        self._members[member] = _strip(file)
        for library in order_libraries(file):
            library_member = f"{LIBRARY_DIRECTORY}/{library.name}"
            self._libraries.setdefault(name, []).append(library_member)
            if library_member not in self._members:
                self._members[library_member] = _strip(library.path)

    def to_bytes(self) -> bytes:
        """Return the archive, with its index and an entry for each directory."""
        body = f"EXTENSIONS = {self._extensions!r}\nLIBRARIES = {self._libraries!r}"
        self.add_source("extension_index.py", INDEX_TEMPLATE.format(body=body).encode())
        buffer = io.BytesIO()
        with zipfile.ZipFile(buffer, "w") as archive:
            for directory in self._list_directories():
                archive.writestr(zipfile.ZipInfo(directory, MEMBER_TIME), b"")
            for member in sorted(self._members):
                info = zipfile.ZipInfo(member, MEMBER_TIME)
                info.compress_type = _choose_compression(member)
                archive.writestr(info, self._members[member])
        return buffer.getvalue()

    def _list_directories(self) -> list[str]:
        # A namespace package is found only by the entry of its directory.
        directories: set[str] = set()
        for member in self._members:
            for parent in Path(member).parents:
                directories.add(f"{parent.as_posix()}/")
        return sorted(directories - {"./"})


def _get_module_name(member: str) -> str:
    for suffix in importlib.machinery.EXTENSION_SUFFIXES:
        if member.endswith(suffix):
            return member.removesuffix(suffix).replace("/", ".")
    raise ValueError(f"{member} is not an extension module of this interpreter")


def _choose_compression(member: str) -> int:
    if member.startswith(BOOTSTRAP_MEMBERS):
        return zipfile.ZIP_STORED
    return zipfile.ZIP_DEFLATED


def _strip(file: Path) -> bytes:
    with tempfile.TemporaryDirectory() as directory:
        copy = Path(directory) / "object"
        shutil.copyfile(file, copy)
        subprocess.run(["strip", "--strip-unneeded", str(copy)], check=True)
        return copy.read_bytes()
