"""What backend servers state about the work that they take."""
