"""Translates between the product and the platform it runs on."""
