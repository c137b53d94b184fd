"""Entry point of a router process: ``python -m bronzesail.router``."""

from __future__ import annotations

from .clocks import read_clock

# Read before the slow imports: the previous process on this host, whose tokens are
# reclaimed, had ended by this time.
STARTED_AT = read_clock()

if __name__ == "__main__":
    from .application import main

    main(STARTED_AT)
