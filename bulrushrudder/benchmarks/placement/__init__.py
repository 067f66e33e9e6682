"""Placement in virtual time, before small fakes of engines."""
