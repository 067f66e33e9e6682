"""Tests of bulrushrudder.observers."""
