"""Settings and documents in YAML, validated at the border."""
