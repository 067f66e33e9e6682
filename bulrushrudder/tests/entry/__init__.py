"""Tests of bulrushrudder.entry."""
