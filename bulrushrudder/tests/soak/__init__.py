"""Soak of the real programs on the users' platform, from a seed."""
