"""Tests of bulrushrudder.limits."""
