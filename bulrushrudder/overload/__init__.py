"""Decisions about work that exceeds what the servers can take."""
