"""Runs a router process on the platform: ``python -m bronzesail.router``."""

from __future__ import annotations

from .clocks import read_clock

STARTED_AT = read_clock()  # Before the slow imports: a predecessor was dead by then.

if __name__ == "__main__":
    from .application import main

    main(STARTED_AT)
