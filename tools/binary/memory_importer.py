"""Import extension modules from an archive through memory, without a disk.

This module runs inside the binary, before any compressed module can be read, so it
imports nothing but what the archive stores uncompressed.
"""

from __future__ import annotations

import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from types import ModuleType

__all__ = [
    "MemoryExtensionFinder",
    "MemoryExtensionLoader",
    "MemoryFiles",
    "open_memory_file",
    "run_program",
]

LIBRARY_DIRECTORY = "shared_libraries"
# Used only where the kernel refuses memfd_create; hosts mount these as tmpfs.
TEMPORARY_DIRECTORIES = ("/run", "/tmp")


def open_memory_file(name: str) -> int:
    """Open an unnamed file that lives in memory.

    Parameters
    ----------
    name : str
        Name shown in the process's memory map.

    Returns
    -------
    int
        Descriptor, open for reading and writing, closed on exec.

    Raises
    ------
    ImportError
        Neither an anonymous file nor a temporary directory could be used.
    """
    try:
        return os.memfd_create(name, os.MFD_CLOEXEC)
    except OSError as error:
        reason = error
    flags = os.O_TMPFILE | os.O_RDWR | os.O_CLOEXEC
    for directory in (os.environ.get("TMPDIR", ""), *TEMPORARY_DIRECTORIES):
        try:
            return os.open(directory, flags, 0o700)
        except OSError as error:
            reason = error
    raise ImportError(f"no memory file for {name}: {reason}")


class MemoryFiles:
    """Archive members that the dynamic linker can open by path.

    Parameters
    ----------
    read : Callable
        Reads an archive member by its name.
    """

    def __init__(self, read: Callable[[str], bytes]) -> None:
        self._read = read
        self._paths: dict[str, str] = {}

    def locate(self, member: str) -> str:
        """Copy a member to memory, once, and return a path that opens it.

        The descriptor stays open: the dynamic linker knows a loaded file by its
        path, and a reused descriptor number would name an earlier file.

        Raises
        ------
        ImportError
            No memory file could be opened.
        OSError
            The archive has no such member, or memory is short.
        """
        path = self._paths.get(member)
        if path is not None:
            return path
        content = memoryview(self._read(member))
        descriptor = open_memory_file(member.rpartition("/")[2])
        while content:
            written = os.write(descriptor, content)
            content = content[written:]
        path = f"/proc/self/fd/{descriptor}"
        self._paths[member] = path
        return path


class MemoryExtensionLoader(ExtensionFileLoader):
    """Loader of one extension module from a memory file.

    Parameters
    ----------
    name : str
        Full name of the module.
    member : str
        Archive member with the module.
    libraries : Sequence of str
        Archive members of the shared libraries to load first, in this order.
    files : MemoryFiles
        Source of the paths.
    load_library : Callable
        Loads a shared library by its path.
    """

    def __init__(
        self,
        name: str,
        member: str,
        libraries: Sequence[str],
        files: MemoryFiles,
        load_library: Callable[[str], None],
    ) -> None:
        super().__init__(name, member)
        self._member = member
        self._libraries = libraries
        self._files = files
        self._load_library = load_library

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        """Load the module's shared libraries, then the module itself."""
        for library in self._libraries:
            self._load_library(self._files.locate(library))
        self.path = self._files.locate(self._member)
        spec.origin = self.path
        return super().create_module(spec)


class MemoryExtensionFinder:
    """Finder of the archive's extension modules, for ``sys.meta_path``.

    Parameters
    ----------
    extensions : Mapping
        Archive member by full module name.
    libraries : Mapping
        Shared libraries to load first, in order, by full module name.
    read : Callable
        Reads an archive member by its name.
    load_library : Callable
        Loads a shared library by its path.
    """

    def __init__(
        self,
        extensions: Mapping[str, str],
        libraries: Mapping[str, Sequence[str]],
        read: Callable[[str], bytes],
        load_library: Callable[[str], None],
    ) -> None:
        self._extensions = extensions
        self._libraries = libraries
        self._files = MemoryFiles(read)
        self._load_library = load_library

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None = None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the spec of an extension module, or None if it is not one."""
        member = self._extensions.get(fullname)
        if member is None:
            return None
        loader = MemoryExtensionLoader(
            fullname,
            member,
            self._libraries.get(fullname, ()),
            self._files,
            self._load_library,
        )
        spec = ModuleSpec(fullname, loader, origin=member)
        spec.has_location = True
        return spec


def run_program() -> None:
    """Install the finder for the archive of this process, then run bronzesail."""
    import zipimport

    import bronzesail_launcher
    import extension_index

    archive = zipimport.zipimporter(sys.executable)
    finder = MemoryExtensionFinder(
        extension_index.EXTENSIONS,
        extension_index.LIBRARIES,
        archive.get_data,
        bronzesail_launcher.load_library,
    )
    sys.meta_path.insert(0, finder)

    from bronzesail.cmd import main

    main()
