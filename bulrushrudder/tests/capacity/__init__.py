"""Tests of bulrushrudder.capacity."""
