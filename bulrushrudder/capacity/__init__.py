"""The target size, worked out from measured slopes."""
