"""Tests of bulrushrudder.placement."""
