"""Tests of bulrushrudder.storage."""
