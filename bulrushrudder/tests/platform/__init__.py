"""Tests of bulrushrudder.platform."""
