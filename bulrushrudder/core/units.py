"""Factors between units."""

MS_PER_SECOND = 1000.0
