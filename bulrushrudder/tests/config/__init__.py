"""Tests of bulrushrudder.config."""
