"""Counters and histograms, and their exposition over HTTP."""
