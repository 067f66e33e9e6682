"""Tests of bulrushrudder.standins."""
