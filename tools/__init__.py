"""Development tools that are not shipped."""
