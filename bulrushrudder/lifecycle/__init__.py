"""The lifecycle of a request, from admission to its last token."""
