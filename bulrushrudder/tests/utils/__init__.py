"""Tests of bulrushrudder.utils."""
