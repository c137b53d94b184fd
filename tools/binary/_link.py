"""Link of the launcher with the interpreter's static library."""

from __future__ import annotations

import subprocess
import sysconfig
from pathlib import Path

__all__ = ["LinkError", "link_launcher"]

LAUNCHER_SOURCE = Path(__file__).parent / "launcher.c"


class LinkError(Exception):
    """The launcher cannot be linked on this host."""


def link_launcher(target: Path) -> None:
    """Compile and link the launcher.

    Parameters
    ----------
    target : Path
        Executable to write; it is linked to the C library dynamically.

    Raises
    ------
    LinkError
        The interpreter has no static library, or the compiler failed.
    """
    variables = sysconfig.get_config_vars()
    library = Path(variables["LIBPL"]) / f"libpython{variables['LDVERSION']}.a"
    if not library.exists():
        raise LinkError(f"the interpreter has no static library {library}")
    command = [
        "gcc",
        "-O2",
        "-Wall",
        "-Werror",
        f"-I{sysconfig.get_path('include')}",
        str(LAUNCHER_SOURCE),
        # Extension modules may use any symbol of the interpreter.
        "-Wl,--export-dynamic",
        "-Wl,--whole-archive",
        str(library),
        "-Wl,--no-whole-archive",
        "-lm",
        "-ldl",
        "-lpthread",
        "-s",
        "-o",
        str(target),
    ]
    result = subprocess.run(command, check=False, capture_output=True, text=True)
    if result.returncode != 0:
        raise LinkError(result.stderr)
