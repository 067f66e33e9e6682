"""Tests of bulrushrudder.consensus."""
