"""Enforces the rate and burst of client accounts across the fleet."""
