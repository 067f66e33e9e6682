"""Tests of bulrushrudder.protocol."""
