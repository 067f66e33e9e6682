"""Simulated backend servers (stand-ins) for trials and tests."""
