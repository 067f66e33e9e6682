"""Resource use at the target size, extrapolated from measurements."""
