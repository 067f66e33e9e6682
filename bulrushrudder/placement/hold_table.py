"""Holds of the entries on the servers of a model."""

import collections
import dataclasses

from bulrushrudder.placement import decodes
from bulrushrudder.placement import events


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRecord:
    """A grant and what it holds.

    :param decode: None while its decode server is absent.
    :param decode_start_s: monotonic seconds at which decoding is
        expected to start, None if another coordinator granted it.
    """

    allocation: events.Allocation
    decode: decodes.DecodeHold | None
    decode_start_s: float | None


class HoldTable:
    """Open holds by owner, and the grants among them.

    :param pool: the DecodePool on which grants hold places and memory.
    """

    def __init__(self, pool):
        self._pool = pool
        self._grants_by_hold = {}
        self._holds_by_absent_server = collections.defaultdict(set)
        self._holds_by_owner = collections.defaultdict(set)
        self._grant_count_by_account = collections.Counter()
        self._last_report_by_owner = {}
        self._known_owners = {}

    @property
    def allocations(self):
        """Return all Allocations."""
        return tuple(
            grant.allocation for grant in self._grants_by_hold.values()
        )

    def grant_of(self, hold):
        """Return the GrantRecord of a hold, None if it has no grant."""
        return self._grants_by_hold.get(hold)

    def grant_count(self, account):
        """Return the number of grants that an account holds."""
        return self._grant_count_by_account[account]

    def open(self, hold):
        """Add the hold of a request that waits."""
        self._holds_by_owner[hold.owner].add(hold)

    def close(self, hold):
        """Remove the hold of a request that has no grant."""
        holds = self._holds_by_owner.get(hold.owner)
        if holds is not None:
            holds.discard(hold)

    def release(self, hold, now_s):
        """Remove a hold and free what it holds.

        :returns: whether it had a grant.
        """
        self.close(hold)
        grant = self._grants_by_hold.pop(hold, None)
        if grant is None:
            return False
        account = grant.allocation.account
        self._grant_count_by_account[account] -= 1
        if self._grant_count_by_account[account] == 0:
            del self._grant_count_by_account[account]
        if grant.decode is not None:
            self._pool.release(grant.decode, _decode_duration_s(grant, now_s))
        else:
            self._forget_absent_hold(grant.allocation.decode, hold)
        return True

    def allocate(self, allocation, between_tokens_s, decode_start_s, now_s):
        """Record a grant and allocate its place and memory."""
        known = self._pool.by_id.get(allocation.decode)
        decode_hold = None
        if known is None:
            self._holds_by_absent_server[allocation.decode].add(
                allocation.hold
            )
        else:
            # The age approximates the time since decoding started,
            # because the prefill before it was short.
            assumed_start_s = decode_start_s or now_s - allocation.age_s
            decode_hold = self._pool.allocate(
                known, allocation, between_tokens_s, assumed_start_s
            )
        if allocation.hold not in self._grants_by_hold:
            self._grant_count_by_account[allocation.account] += 1
        grant = GrantRecord(allocation, decode_hold, decode_start_s)
        self._grants_by_hold[allocation.hold] = grant
        self.open(allocation.hold)

    def count_restored(self, server_id, now_s):
        """Allocate the holds restored before their decode server joined."""
        for hold in self._holds_by_absent_server.pop(server_id, ()):
            grant = self._grants_by_hold[hold]
            self.allocate(
                grant.allocation, float('inf'), grant.decode_start_s, now_s
            )

    def compare(self, event):
        """Compare the holds of an owner with its HoldsReported event.

        :returns: the holds that the owner lacks, and the numbers that are
            unknown here.
        """
        last = self._last_report_by_owner.get(event.owner, -1)
        if event.sequence <= last:
            return (), ()
        self._last_report_by_owner[event.owner] = event.sequence
        holds = tuple(self._holds_by_owner[event.owner])
        ended = tuple(
            hold
            for hold in holds
            if hold.number < event.end_number
            and hold.number not in event.numbers
        )
        unknown = event.numbers - {hold.number for hold in holds}
        return ended, tuple(sorted(unknown))

    def update_owners(self, owners):
        """Record the owners with a session.

        :returns: the holds of those that are gone.
        """
        incarnations_by_vm = {o.vm: o.incarnation for o in owners}
        ended = []
        for owner in tuple(self._holds_by_owner):
            current = incarnations_by_vm.get(owner.vm)
            gone = current is None and owner in self._known_owners
            if gone or (current or 0) > owner.incarnation:
                ended += self._holds_by_owner.pop(owner)
                self._last_report_by_owner.pop(owner, None)
        self._known_owners = dict.fromkeys(owners)
        return ended

    def _forget_absent_hold(self, server_id, hold):
        holds = self._holds_by_absent_server[server_id]
        holds.discard(hold)
        if not holds:
            del self._holds_by_absent_server[server_id]


def _decode_duration_s(grant, now_s):
    if grant.decode_start_s is None:
        return None
    return max(0.0, now_s - grant.decode_start_s)
