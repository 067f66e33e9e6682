"""Helpers without a package of their own."""
