"""Raft consensus on a replicated log, without I/O."""
