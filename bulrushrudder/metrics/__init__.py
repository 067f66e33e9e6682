"""Counters and histograms, and their exposition."""
