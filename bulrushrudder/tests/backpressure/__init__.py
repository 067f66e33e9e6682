"""Tests of bulrushrudder.backpressure."""
