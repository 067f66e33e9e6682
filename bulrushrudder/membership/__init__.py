"""Tracks which backend servers exist and may get new work."""
