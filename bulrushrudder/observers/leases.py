"""Leases of entry processes: who was heard of, and who is silent."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import sessions

SESSION_LEASE_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sign:
    """The last sign of life of an observer.

    :param index: up to where the log is in force there.
    """

    index: int
    heard_s: float


class Leases:
    """Signs of life of observers.

    The lease is longer than the bound on freshness: when a session is
    closed, its process has refused keyed routes for a while.
    """

    def __init__(self):
        self.signs_by_owner: dict[ids.Owner, Sign] = {}
        self._leases_renewed_s = 0.0
        self._session_seen_s_by_owner: dict[ids.Owner, float] = {}

    def begin(self, now_s):
        """Give every open session a whole lease; a leader takes over."""
        self._leases_renewed_s = now_s

    def heard(self, owner, index, heard_s):
        """Take note of a sign of life."""
        known = self.signs_by_owner.get(owner)
        if known is None or known.heard_s <= heard_s:
            self.signs_by_owner[owner] = Sign(index, heard_s)

    def expire(self, sessions_by_vm, now_s):
        """Return CloseSession commands for sessions that are silent.

        A session that has just been opened has a whole lease: the first
        sign of its process may come later, through another member.
        """
        self._drop_expired(now_s)
        self._session_seen_s_by_owner = {
            session.owner: self._session_seen_s_by_owner.get(
                session.owner, now_s
            )
            for session in sessions_by_vm.values()
        }
        return [
            sessions.CloseSession(session.owner)
            for session in sessions_by_vm.values()
            if now_s - self._lease_start_s(session.owner) > SESSION_LEASE_S
        ]

    def _lease_start_s(self, owner):
        known = self.signs_by_owner.get(owner)
        return max(
            known.heard_s if known else 0.0,
            self._leases_renewed_s,
            self._session_seen_s_by_owner[owner],
        )

    def _drop_expired(self, now_s):
        """Drop signs of observers that are long gone."""
        self.signs_by_owner = {
            owner: sign
            for owner, sign in self.signs_by_owner.items()
            if now_s - sign.heard_s <= 2 * SESSION_LEASE_S
        }
