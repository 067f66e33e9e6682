"""Which backend server runs a request, when, for whom."""
