"""Small stand-ins of backend servers for trials and tests."""
