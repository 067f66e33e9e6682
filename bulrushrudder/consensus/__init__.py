"""The replicated log, free of I/O."""
