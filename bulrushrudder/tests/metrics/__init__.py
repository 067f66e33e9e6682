"""Tests of bulrushrudder.metrics."""
