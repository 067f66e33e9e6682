"""Tests of bulrushrudder.idempotency."""
