"""Tests of bulrushrudder.lifecycle."""
