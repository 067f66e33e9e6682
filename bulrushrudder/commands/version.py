"""Prints the version."""

import bulrushrudder


def version():
    """Print the version of bulrushrudder."""
    print(bulrushrudder.__version__)
