"""Errors of the ways to backend servers."""


class TunnelBrokeError(ConnectionResetError):
    """A tunnel broke on the way; its server has not ended it."""
