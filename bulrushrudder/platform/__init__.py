"""Adapters between the router and the platform that it runs on."""
