"""Tests of bulrushrudder.state."""
