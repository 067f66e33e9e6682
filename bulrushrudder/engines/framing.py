"""What the head of a response says about the response and its end."""

import enum
import re

FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
# httptools and aiohttp accept any three digits.
MAX_STATUS = 599
# Share of a stated idle timeout after which a connection is not reused.
IDLE_TIMEOUT_SHARE = 0.6
_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout\s*=\s*(\d+)', re.IGNORECASE)
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class Match(enum.Enum):
    """How the id in a response compares with that of the call."""

    SAME = 'same'
    MISSING = 'missing'
    OTHER = 'other'


def compare_id(echoed, call_id):
    """Return the Match of an echoed id.

    :param echoed: the id in the response, or None.
    :param call_id: the id of the call; empty if it has none.
    """
    if echoed == (call_id or None):
        return Match.SAME
    return Match.MISSING if echoed is None else Match.OTHER


def is_interim(status):
    """Return whether another response follows one with a status."""
    return FIRST_STATUS <= status < FIRST_FINAL_STATUS


def is_valid(status):
    """Return whether a response may have a status."""
    return FIRST_STATUS <= status <= MAX_STATUS


def is_final(status):
    """Return whether a status may end a call."""
    return FIRST_FINAL_STATUS <= status <= MAX_STATUS


def is_self_delimited(head):
    """Return whether a response ends without closing the connection.

    :param head: the Head.
    """
    if head.status in _STATUSES_WITHOUT_BODY:
        return True
    names = {name.lower() for name, _ in head.headers}
    return 'content-length' in names or 'transfer-encoding' in names


def announces_forbidden_body(head):
    """Return whether a response names a body that it cannot have.

    A server that sends one all the same would have it precede its next
    response. A 304 may name the length of what it does not send, but then
    nothing tells the two apart.

    :param head: the Head.
    """
    if head.status not in _STATUSES_WITHOUT_BODY:
        return False
    length = head.header('content-length')
    return length not in (None, '0') or (
        head.header('transfer-encoding') is not None
    )


def idle_timeout_s(head, default_s):
    """Return how many seconds a connection may stay idle.

    :param default_s: the time if the response states none.
    """
    for value in head.values('keep-alive'):
        stated = _KEEP_ALIVE_TIMEOUT.search(value)
        if stated:
            return int(stated.group(1)) * IDLE_TIMEOUT_SHARE
    return default_s
