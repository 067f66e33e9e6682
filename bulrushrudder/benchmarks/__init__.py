"""Measurements, printed as tables or JSON."""
