"""Run the command line with ``python -m bronzesail``."""

from __future__ import annotations

from .cmd import main

if __name__ == "__main__":
    main()
