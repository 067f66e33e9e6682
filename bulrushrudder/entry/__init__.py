"""The entry process, between callers and backend servers."""
