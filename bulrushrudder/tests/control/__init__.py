"""Tests of bulrushrudder.control."""
