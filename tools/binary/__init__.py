"""Build of the one-file program."""
