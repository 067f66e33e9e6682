"""Tests of bulrushrudder.documents."""
