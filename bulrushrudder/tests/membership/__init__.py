"""Tests of bulrushrudder.membership."""
