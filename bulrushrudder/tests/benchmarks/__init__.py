"""Tests of bulrushrudder.benchmarks."""
