"""What this VM knows from the statements of backend servers."""

import dataclasses

from bulrushrudder.backpressure import statements

# Records of absent servers are kept this long, because late grants may
# still name them.
RETENTION_S = 60.0
INVALID_INTERVAL_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitChanged:
    """A server stated another limit than before.

    :param requests_per_s: None if it states no limit any more.
    """

    requests_per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingStated:
    """A server stated for the first time that it is leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class PauseStated:
    """A server asked for a pause that ends later than any before.

    :param until_s: monotonic seconds.
    """

    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidStated:
    """A server stated something that cannot be read."""

    detail: str


Change = LimitChanged | LeavingStated | PauseStated | InvalidStated


@dataclasses.dataclass(slots=True)
class _Known:
    """What one incarnation of a server has stated.

    :param limit_stated_s: monotonic seconds at which an answer last stated
        a limit.
    :param answered_s: monotonic seconds of its last answer.
    """

    incarnation: int
    requests_per_s: float | None = None
    limit_stated_s: float = 0.0
    leaving: bool = False
    paused_until_s: float = 0.0
    invalid_reported_s: float | None = None
    answered_s: float = 0.0


class StatementTable:
    """Statements by server; each incarnation starts without any."""

    def __init__(self):
        self._known_by_id = {}
        self._held_back_ids = set()

    def record(self, server, answer):
        """Apply the statements of an answer.

        :param server: the BackendServer that the request was sent to.
        :param answer: the Answer.
        :returns: the Changes that follow.
        """
        known = self._known(server)
        if known is None:
            return ()
        known.answered_s = max(known.answered_s, answer.received_s)
        changes = (
            _apply(known, statement, answer) for statement in answer.statements
        )
        changes = tuple(change for change in changes if change is not None)
        if known.leaving or known.paused_until_s > answer.received_s:
            self._held_back_ids.add(server.id)
        return changes

    def requests_per_s(self, server):
        """Return the limit that a server stated last, None without one."""
        known = self._current(server)
        return known.requests_per_s if known else None

    def is_leaving(self, server):
        """Return whether a server has stated that it is leaving."""
        known = self._current(server)
        return known is not None and known.leaving

    def paused_until_s(self, server):
        """Return the monotonic seconds at which a pause ends, 0 if none."""
        known = self._current(server)
        return known.paused_until_s if known else 0.0

    def takes_work(self, server, now_s):
        """Return whether a server may get new work of this VM."""
        known = self._current(server)
        if known is None:
            return True
        return not known.leaving and known.paused_until_s <= now_s

    def unavailable(self, candidates, now_s):
        """Return the ids of the servers that take no work of this VM.

        :param candidates: BackendServers by id.
        """
        unavailable = []
        for server_id in tuple(self._held_back_ids):
            known = self._known_by_id[server_id]
            if not known.leaving and known.paused_until_s <= now_s:
                self._held_back_ids.discard(server_id)
                continue
            server = candidates.get(server_id)
            if server is not None and not self.takes_work(server, now_s):
                unavailable.append(server_id)
        return tuple(unavailable)

    def forget_absent(self, present, now_s):
        """Forget servers that have been absent for RETENTION_S.

        :param present: servers by id.
        """
        cutoff_s = now_s - RETENTION_S
        self._known_by_id = {
            server_id: known
            for server_id, known in self._known_by_id.items()
            if server_id in present or known.answered_s > cutoff_s
        }
        self._held_back_ids &= self._known_by_id.keys()

    def _known(self, server):
        """Return the record of a server, None if a newer one is known."""
        known = self._known_by_id.get(server.id)
        if known is None or known.incarnation < server.incarnation:
            known = _Known(server.incarnation)
            self._known_by_id[server.id] = known
        return known if known.incarnation == server.incarnation else None

    def _current(self, server):
        known = self._known_by_id.get(server.id)
        if known is None or known.incarnation != server.incarnation:
            return None
        return known


def _apply(known, statement, answer):
    """Apply a statement to a record; return the Change, or None."""
    match statement:
        case statements.RateLimit(requests_per_s=requests_per_s):
            return _apply_limit(known, requests_per_s, answer)
        case statements.Leaving():
            changed = not known.leaving
            known.leaving = True
            return LeavingStated() if changed else None
        case statements.Pause(duration_s=duration_s):
            until_s = answer.received_s + duration_s
            if until_s <= known.paused_until_s:
                return None
            known.paused_until_s = until_s
            return PauseStated(until_s)
        case statements.Invalid(detail=detail):
            return _apply_invalid(known, detail, answer.received_s)
    raise AssertionError(f'unknown statement {statement!r}')


def _apply_limit(known, requests_per_s, answer):
    if requests_per_s is not None:
        known.limit_stated_s = answer.received_s
    elif answer.sent_s <= known.limit_stated_s:
        # Answers may overtake each other; only a request that was sent
        # after the limit was known proves that the limit has ended.
        return None
    if known.requests_per_s == requests_per_s:
        return None
    known.requests_per_s = requests_per_s
    return LimitChanged(requests_per_s)


def _apply_invalid(known, detail, now_s):
    reported_s = known.invalid_reported_s
    if reported_s is not None and now_s - reported_s < INVALID_INTERVAL_S:
        return None
    known.invalid_reported_s = now_s
    return InvalidStated(detail)
