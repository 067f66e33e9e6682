"""Tests of bulrushrudder.events."""
