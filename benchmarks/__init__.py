"""Measurements and long randomised runs; each module is a program."""
