"""Tests of bulrushrudder.commands."""
