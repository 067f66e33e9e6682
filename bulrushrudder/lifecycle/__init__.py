"""The life of one request, from admission to its last byte."""
