"""Tests of bulrushrudder.engines."""
