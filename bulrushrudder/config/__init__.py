"""Load and validate settings and documents written in YAML."""
