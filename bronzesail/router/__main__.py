"""Runs a router process on the platform: ``python -m bronzesail.router``."""

from __future__ import annotations

from .application import main

if __name__ == "__main__":
    main()
