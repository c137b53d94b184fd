"""Small helpers, one purpose a module."""
