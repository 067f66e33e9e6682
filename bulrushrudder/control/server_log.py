"""Logs committed changes of the backend servers."""

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.state import servers


def find_known(command, servers_by_id):
    """Return the present record of the server that a command joins."""
    match command:
        case servers.JoinServer(server=server):
            return servers_by_id.get(server.id)
    return None


def log_change(command, lost_reason, known=None):
    """Log a committed change of the backend servers.

    :param lost_reason: reason to log if a server was lost.
    :param known: the BackendServer that the command replaces, or None.
    """
    match command:
        case servers.JoinServer(server=server) if servers.turns(known, server):
            log.emit(
                catalogue.SERVER_COLD
                if server.cold
                else catalogue.SERVER_WARM,
                server=server.id,
                incarnation=server.incarnation,
                zone=server.zone,
                requests_per_s=server.cold_requests_per_s,
            )
        case servers.JoinServer(server=server):
            log.emit(
                catalogue.SERVER_JOINED,
                server=server.id,
                incarnation=server.incarnation,
                kind=server.kind,
                serves=' '.join(server.serves),
                zone=server.zone,
                software=server.software,
                cold=server.cold,
            )
        case servers.LeaveServer():
            _log_left(command, 'leaving')
        case servers.LoseServer():
            _log_left(command, lost_reason)


def _log_left(command, reason):
    log.emit(
        catalogue.SERVER_LEFT,
        server=command.id,
        incarnation=command.incarnation,
        reason=reason,
    )
