"""The environment document and how it changes."""
