"""Assigns the cancellation of orphaned attempts to live VMs.

Attempts are orphaned when the process that owns them is gone. Every
entry process watches the sessions in the replicated log. For each
backend server, one live VM sends one order that covers all attempts of
the gone owner, so processes need not share which attempts they run. All
VMs compute the same assignment: they rank the live VMs by highest
random weight for the owner and pick one per server by hash.
Orders are rate-limited to bound the traffic of a VM.
"""

import collections
import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import ranking
from bulrushrudder.lifecycle import cancellations

ORDERS_PER_S = 4.0
GONE_OWNER_RETENTION_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class SessionsSeen:
    """The open sessions, as read from the replicated log.

    :param index: log index of the reading.
    :param owners_by_vm: the owner of each open session.
    """

    index: int
    owners_by_vm: dict[ids.VmId, ids.Owner]


@dataclasses.dataclass(slots=True)
class _GoneOwner:
    """An owner that is gone.

    :param was_live: whether its session was open before. The earlier run
        of a VM that has just opened a session may have ended long ago.
    :param notified: ids and incarnations of the servers for which a
        cancellation was queued.
    """

    owner: ids.Owner
    expires_s: float
    was_live: bool
    notified: set = dataclasses.field(default_factory=set)


class Orphans:
    """Decides which cancellations of orphans this VM sends.

    :param vm: this VM.
    """

    def __init__(self, vm):
        self._vm = vm
        self._owners_by_vm = None
        self._gone_by_vm = {}
        self._queue = collections.deque()
        self._low_priority_queue = collections.deque()
        self._own_earlier_runs_pending = False
        self._next_order_s = 0.0
        self._index = None

    def handle(self, event, servers_by_id, now_s):
        """Handle a reading of the sessions; return due cancellations.

        :param servers_by_id: the announced servers.
        :param now_s: monotonic seconds.
        """
        match event:
            case SessionsSeen(index=index, owners_by_vm=owners_by_vm):
                if index != self._index:
                    self._update_owners(owners_by_vm, now_s)
                    self._enqueue(servers_by_id, now_s)
                self._index = index
            case _:
                raise AssertionError(f'unknown event {event!r}')
        return list(self._take_due(now_s))

    def _update_owners(self, owners_by_vm, now_s):
        before = self._owners_by_vm
        self._owners_by_vm = dict(owners_by_vm)
        if before is None:
            self._own_earlier_runs_pending = True
            return
        for vm, owner in owners_by_vm.items():
            known = self._gone_by_vm.get(vm)
            if known is not None and known.owner == owner:
                del self._gone_by_vm[vm]
        for vm, owner in before.items():
            if owners_by_vm.get(vm) != owner:
                self._record_gone(owner, True, now_s)
        for vm, owner in owners_by_vm.items():
            if vm not in before:
                earlier = ids.Owner(vm, owner.incarnation - 1)
                self._record_gone(earlier, False, now_s)

    def _record_gone(self, owner, was_live, now_s):
        known = self._gone_by_vm.get(owner.vm)
        if known is None or known.owner.incarnation < owner.incarnation:
            self._gone_by_vm[owner.vm] = _GoneOwner(
                owner, now_s + GONE_OWNER_RETENTION_S, was_live
            )

    def _enqueue(self, servers_by_id, now_s):
        self._gone_by_vm = {
            vm: gone
            for vm, gone in self._gone_by_vm.items()
            if now_s < gone.expires_s
        }
        for gone in self._gone_by_vm.values():
            self._enqueue_gone_owner(gone, servers_by_id)
        if self._own_earlier_runs_pending and servers_by_id:
            self._own_earlier_runs_pending = False
            self._enqueue_own_earlier_runs(servers_by_id)

    def _enqueue_own_earlier_runs(self, servers_by_id):
        """Queue cancellations of earlier runs on this VM for all servers.

        They have low priority: peers that saw this process start send
        the same orders at once.
        """
        owner = self._owners_by_vm.get(self._vm)
        if owner is None:
            return
        earlier = ids.Owner(owner.vm, owner.incarnation - 1)
        for server in servers_by_id.values():
            if server.kind != 'service':
                wanted = cancellations.CancelRequested(server, earlier)
                self._low_priority_queue.append(wanted)

    def _enqueue_gone_owner(self, gone, servers_by_id):
        ranked = _rank_members(gone.owner.vm, self._owners_by_vm)
        queue = self._queue if gone.was_live else self._low_priority_queue
        for server in servers_by_id.values():
            run = (server.id, server.incarnation)
            if server.kind == 'service' or run in gone.notified:
                continue
            slot = ranking.weight(server.id, gone.owner.vm) % len(ranked)
            if ranked[slot] != self._vm:
                continue
            gone.notified.add(run)
            wanted = cancellations.CancelRequested(server, gone.owner)
            queue.append(wanted)

    def _take_due(self, now_s):
        while (
            self._queue or self._low_priority_queue
        ) and now_s >= self._next_order_s:
            self._next_order_s = (
                max(self._next_order_s, now_s - 1.0) + 1 / ORDERS_PER_S
            )
            source = self._queue or self._low_priority_queue
            yield source.popleft()


def _rank_members(key, members):
    return sorted(
        members,
        key=lambda member: (ranking.weight(key, member), member),
        reverse=True,
    )
