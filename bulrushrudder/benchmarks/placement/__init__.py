"""Placement in virtual time with simulated engines."""
