"""Leases of the sessions of entry processes."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import sessions

SESSION_LEASE_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class LastContact:
    """The last contact with an observer.

    :param index: index up to which it has applied the log.
    :param heard_s: monotonic seconds of the contact.
    """

    index: int
    heard_s: float


class Leases:
    """Tracks when observers were last heard from.

    The lease is longer than the freshness bound, so the process of an
    expired session already refuses keyed routes before its session is
    closed.
    """

    def __init__(self):
        self.contacts_by_owner: dict[ids.Owner, LastContact] = {}
        self._leases_renewed_s = 0.0
        self._session_seen_s_by_owner: dict[ids.Owner, float] = {}

    def renew_all(self, now_s):
        """Renew all leases; a new leader calls it when it takes over."""
        self._leases_renewed_s = now_s

    def record_contact(self, owner, index, heard_s):
        """Record a contact with an observer, unless a later one is known."""
        known = self.contacts_by_owner.get(owner)
        if known is None or known.heard_s <= heard_s:
            self.contacts_by_owner[owner] = LastContact(index, heard_s)

    def expire(self, sessions_by_vm, now_s):
        """Return CloseSession commands for sessions with expired leases.

        A newly opened session has a full lease, because the first
        contact may arrive later through another control process.
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
        known = self.contacts_by_owner.get(owner)
        return max(
            known.heard_s if known else 0.0,
            self._leases_renewed_s,
            self._session_seen_s_by_owner[owner],
        )

    def _drop_expired(self, now_s):
        """Drop observers that were not heard from for two leases."""
        self.contacts_by_owner = {
            owner: contact
            for owner, contact in self.contacts_by_owner.items()
            if now_s - contact.heard_s <= 2 * SESSION_LEASE_S
        }
