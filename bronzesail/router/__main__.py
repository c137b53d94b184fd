"""Entry point of a router process: ``python -m bronzesail.router``.

``--restore-depth-s SECONDS`` sets the longest time that a copy is behind from which the
store may be restored. A router acquires no tokens before it has run for that long.
"""

from __future__ import annotations

from .clocks import read_clock

# Read before the slow imports: the previous process on this host, whose tokens are
# reclaimed, had ended by this time.
STARTED_AT = read_clock()

if __name__ == "__main__":
    import argparse

    from .application import main
    from .budget import RESTORE_DEPTH_S

    parser = argparse.ArgumentParser(prog="python -m bronzesail.router")
    parser.add_argument("--restore-depth-s", type=float, default=RESTORE_DEPTH_S)
    main(STARTED_AT, parser.parse_args().restore_depth_s)
