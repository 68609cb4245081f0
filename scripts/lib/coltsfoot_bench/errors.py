"""Errors of the scripts."""


class BenchError(Exception):
    """A run that could not be carried out."""
