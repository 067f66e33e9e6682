"""Pools of which evacuated zones leave too few servers to serve anything."""


def is_emptied(change):
    """Return whether evacuations alone keep a model from being served.

    :param change: the ServersChanged.
    """
    return not _serve(change.servers) and _serve(
        (*change.servers, *change.evacuated)
    )


def _serve(servers):
    """Return whether some servers together can serve a request."""
    decodes = [server for server in servers if server.kind == 'decode']
    if not any(server.kind == 'prefill' for server in servers):
        return any(server.can_prefill for server in decodes)
    return bool(decodes)
