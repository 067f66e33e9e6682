"""Tests of bulrushrudder.core."""
