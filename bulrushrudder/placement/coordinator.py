"""Coordinator of a model: grants places on its backend servers."""

import collections
import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.overload import return_times
from bulrushrudder.placement import actions
from bulrushrudder.placement import balance
from bulrushrudder.placement import call_limits
from bulrushrudder.placement import choice
from bulrushrudder.placement import crossing
from bulrushrudder.placement import decodes
from bulrushrudder.placement import demand
from bulrushrudder.placement import events
from bulrushrudder.placement import fair_queue
from bulrushrudder.placement import figure_ages
from bulrushrudder.placement import flooding
from bulrushrudder.placement import model_zones
from bulrushrudder.placement import pool_limits
from bulrushrudder.placement import prefills

MAX_BOOKED_AHEAD = 6
# Accounts of a queue class that are considered for one grant.
MAX_QUEUE_HEADS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _GrantRecord:
    """A grant and what it holds.

    :param decode: None while its decode server is absent.
    :param decode_start_s: monotonic seconds at which decoding is
        expected to start, None if another coordinator granted it.
    """

    allocation: events.Allocation
    decode: decodes.DecodeHold | None
    decode_start_s: float | None


class Coordinator:
    """Grants places on the servers of a model and queues requests for them.

    :param ready_s: monotonic seconds before which nothing is granted,
        so that owners can report what they hold.
    :param max_booked_ahead: limit of places per decode server that are granted
        before the requests in them have ended.
    :param costs: what the bytes between zones cost.
    """

    def __init__(
        self,
        ready_s=0.0,
        max_booked_ahead=MAX_BOOKED_AHEAD,
        costs=crossing.FIXED,
    ):
        self._ready_s = ready_s
        self._queue = fair_queue.FairQueue()
        self._prefills = prefills.PrefillPool()
        self._decodes = decodes.DecodePool(max_booked_ahead)
        self._grants_by_hold = {}
        self._holds_by_absent_server = collections.defaultdict(set)
        self._holds_by_owner = collections.defaultdict(set)
        self._demand = demand.AccountDemand()
        self._average_work = balance.AverageWork()
        self._grant_count_by_account = collections.Counter()
        self._last_report_by_owner = {}
        self._known_owners = {}
        self._drained_server_by_hold = {}
        self._return_times = return_times.ReturnTimes()
        self._limits = pool_limits.PoolLimits(self._prefills, self._decodes)
        self._ages = figure_ages.FigureAges()
        self._zones = model_zones.ModelZones(
            costs, self._prefills, self._decodes
        )

    @property
    def queue_length(self):
        """Return the number of queued placement requests."""
        return len(self._queue)

    @property
    def calls(self):
        """Return the calls of all queued placement requests."""
        return self._queue.calls()

    @property
    def pools(self):
        """Return the PrefillPool and the DecodePool."""
        return self._prefills, self._decodes

    @property
    def zones(self):
        """Return the ModelZones."""
        return self._zones

    @property
    def ages(self):
        """Return the FigureAges of the servers."""
        return self._ages

    def constraints(self, request, now_s):
        """Return what a placement of a request must leave to others."""
        return choice.Constraints(
            claimed=frozenset(self._drained_server_by_hold.values()),
            limiter=self._limits.limiter,
            costs=self._zones.costs,
            preference=self._zones.preference(request, now_s),
        )

    @property
    def allocations(self):
        """Return all Allocations."""
        return tuple(
            grant.allocation for grant in self._grants_by_hold.values()
        )

    @property
    def limits_by_id(self):
        """Return pairs of incarnation and limit by server.

        It covers the servers that have stated a limit, or its end.
        """
        return self._limits.limiter.limits_by_id

    def wanted_prefills(self):
        """Return the target number of prefill servers, None if unknown."""
        work = self._average_work.work
        if work is None:
            return None
        prefills = len(self._prefills.by_id)
        decodes = sum(k.present for k in self._decodes.by_id.values())
        return balance.wanted(work, prefills, decodes)

    def handle(self, event, now_s):
        """Apply an event and return the resulting actions.

        :param now_s: monotonic seconds.
        """
        immediate = self._apply(event, now_s)
        decided = self._zones.refresh(now_s)
        return [*immediate, *decided, *self._dispatch(now_s)]

    def _apply(self, event, now_s):
        match event:
            case events.PlacementRequested():
                return self._enqueue(event, now_s)
            case events.LimitReported():
                self._limits.update(event, now_s)
            case events.CallRequested():
                return [
                    call_limits.decide(
                        event,
                        self._limits.limiter,
                        self._return_times,
                        now_s,
                    )
                ]
            case events.PlaceReleased(hold=hold):
                self._record_measurements(event, now_s)
                self._release(hold, now_s)
            case events.ServersChanged(servers=servers):
                self._update_servers(servers, now_s)
            case events.LoadReported():
                self._prefills.record_load(event)
                self._decodes.record_load(event)
                self._ages.record(event.server, now_s)
            case events.CacheChanged():
                self._prefills.prefixes.changed(event)
            case events.HoldsReported():
                return self._reconcile(event, now_s)
            case events.AllocationsRestored(allocations=allocations):
                self._restore(allocations, now_s)
            case events.OwnersChanged(owners=owners):
                self._update_owners(owners, now_s)
            case events.Ticked():
                pass
            case _:
                raise AssertionError(f'unknown event {event!r}')
        return []

    def _enqueue(self, request, now_s):
        self._holds_by_owner[request.hold.owner].add(request.hold)
        tokens = request.prompt_tokens + request.output_tokens
        self._demand.record(request.account, request.weight, tokens, now_s)
        self._record_work(request)
        backlog_s = self._limits.backlog_s(
            len(self._queue), self._return_times.pace(now_s)
        )
        if backlog_s > request.patience_s:
            return [self._refuse(request, outcomes.Reason.NO_SERVER, now_s)]
        self._queue.add(request, now_s, self._lead_s(request))
        self._zones.arrived(request, now_s)
        return []

    def _record_work(self, request):
        """Add the expected server time of a request to the average."""
        prefill_s = self._prefills.work_s(request)
        decode_s = self._decodes.work_s(request)
        if prefill_s is not None and decode_s is not None:
            self._average_work.record(balance.RequestWork(prefill_s, decode_s))

    def _lead_s(self, request):
        """Return the expected seconds from a grant to the first token."""
        if self._prefills.has_server(request.excluded):
            return self._prefills.first_token_lead_s(request)
        return prefills.FIRST_TOKEN_OVERHEAD_S + self._decodes.prompt_read_s(
            request
        )

    def _record_measurements(self, event, now_s):
        """Update the pace and failure share of the servers of a request."""
        grant = self._grants_by_hold.get(event.hold)
        if grant is None:
            return
        allocation = grant.allocation
        if event.prefill_s > 0:
            self._ages.record(allocation.prefill, now_s)
            self._prefills.record_prefill(
                allocation.prefill, allocation.prompt_tokens, event.prefill_s
            )
        if event.token_s > 0:
            self._ages.record(allocation.decode, now_s)
            self._decodes.record_token_time(allocation.decode, event.token_s)
        if event.verdict is not events.Verdict.UNKNOWN:
            failed = event.verdict is events.Verdict.FAILED
            self._decodes.record_result(allocation.decode, failed, now_s)

    def _release(self, hold, now_s):
        self._holds_by_owner[hold.owner].discard(hold)
        self._drained_server_by_hold.pop(hold, None)
        self._queue.remove(hold)
        self._zones.left(hold)
        grant = self._grants_by_hold.pop(hold, None)
        if grant is None:
            return
        self._grant_count_by_account[grant.allocation.account] -= 1
        if self._grant_count_by_account[grant.allocation.account] == 0:
            del self._grant_count_by_account[grant.allocation.account]
        if grant.decode is not None:
            self._decodes.release(
                grant.decode, _decode_duration_s(grant, now_s)
            )
        else:
            self._forget_absent_hold(grant.allocation.decode, hold)

    def _update_servers(self, servers, now_s):
        by_id = {server.id: server for server in servers}
        self._limits.update_servers(servers)
        self._ages.retain(by_id)
        for pool, kind in (
            (self._prefills, 'prefill'),
            (self._decodes, 'decode'),
        ):
            for known in list(pool.by_id.values()):
                current = by_id.get(known.server.id)
                if current is None or current.kind != kind:
                    pool.leave(known.server.id)
            for server in servers:
                if server.kind == kind and not pool.has(server):
                    pool.join(server)
                    self._count_restored(server.id, now_s)

    def _reconcile(self, event, now_s):
        """Release holds that an owner lacks and request unknown ones."""
        last = self._last_report_by_owner.get(event.owner, -1)
        if event.sequence <= last:
            return []
        self._last_report_by_owner[event.owner] = event.sequence
        known = set()
        for hold in tuple(self._holds_by_owner[event.owner]):
            if (
                hold.number < event.end_number
                and hold.number not in event.numbers
            ):
                self._release(hold, now_s)
            known.add(hold.number)
        unknown = event.numbers - known
        if not unknown:
            return []
        return [
            actions.RequestAllocations(event.owner, tuple(sorted(unknown)))
        ]

    def _restore(self, allocations, now_s):
        for allocation in allocations:
            if allocation.hold not in self._grants_by_hold:
                self._queue.remove(allocation.hold)
                self._allocate(allocation, float('inf'), None, now_s)

    def _forget_absent_hold(self, server_id, hold):
        holds = self._holds_by_absent_server[server_id]
        holds.discard(hold)
        if not holds:
            del self._holds_by_absent_server[server_id]

    def _count_restored(self, server_id, now_s):
        """Allocate the holds restored before their decode server joined."""
        for hold in self._holds_by_absent_server.pop(server_id, ()):
            grant = self._grants_by_hold[hold]
            self._allocate(
                grant.allocation, float('inf'), grant.decode_start_s, now_s
            )

    def _allocate(self, allocation, between_tokens_s, decode_start_s, now_s):
        known = self._decodes.by_id.get(allocation.decode)
        decode_hold = None
        if known is None:
            self._holds_by_absent_server[allocation.decode].add(
                allocation.hold
            )
        else:
            # The age approximates the time since decoding started,
            # because the prefill before it was short.
            assumed_start_s = decode_start_s or now_s - allocation.age_s
            decode_hold = self._decodes.allocate(
                known, allocation, between_tokens_s, assumed_start_s
            )
        if allocation.hold not in self._grants_by_hold:
            self._grant_count_by_account[allocation.account] += 1
        grant = _GrantRecord(allocation, decode_hold, decode_start_s)
        self._grants_by_hold[allocation.hold] = grant
        self._holds_by_owner[allocation.hold.owner].add(allocation.hold)

    def _update_owners(self, owners, now_s):
        incarnations_by_vm = {o.vm: o.incarnation for o in owners}
        for owner in tuple(self._holds_by_owner):
            current = incarnations_by_vm.get(owner.vm)
            gone = current is None and owner in self._known_owners
            if gone or (current or 0) > owner.incarnation:
                self._forget_owner(owner, now_s)
        self._known_owners = dict.fromkeys(owners)

    def _forget_owner(self, owner, now_s):
        for hold in tuple(self._holds_by_owner[owner]):
            self._release(hold, now_s)
        del self._holds_by_owner[owner]
        self._last_report_by_owner.pop(owner, None)

    def _dispatch(self, now_s):
        decided = [
            self._refuse(queued.request, outcomes.Reason.NO_SERVER, now_s)
            for queued in self._queue.expired(now_s)
        ]
        self._queue.demote(now_s)
        if now_s < self._ready_s:
            return decided
        while True:
            action = self._dispatch_one(now_s)
            if action is None:
                return decided
            decided.append(action)

    def _dispatch_one(self, now_s):
        """Grant or refuse the first queued request that allows it.

        A queue class is served only if no request of an earlier class
        is blocked; requests held back for flooding do not count.
        """
        claimed = frozenset(self._drained_server_by_hold.values())
        for queue_class in fair_queue.QueueClass:
            blocked = False
            for queued in self._queue.heads(queue_class, MAX_QUEUE_HEADS):
                held_back = self._is_flooding(queued.request.account)
                result = self._place(queued, held_back, claimed, now_s)
                match result:
                    case actions.Grant() | actions.Refuse():
                        return result
                    case choice.Blocked(claimed=str(server)):
                        claimed |= {server}
                blocked = blocked or not held_back
            if blocked:
                return None
        return None

    def _place(self, queued, held_back, claimed, now_s):
        """Return the Grant or Refuse for a queued request, or Blocked."""
        request = queued.request
        if request.software is not None and not self._decodes.has_software(
            request.software
        ):
            self._queue.remove(request.hold)
            return self._refuse(request, outcomes.Reason.NO_SERVER, now_s)
        if request.isolation is events.Isolation.ALONE:
            claimed = self._drain_for(request, claimed)
        constraints = dataclasses.replace(
            self.constraints(request, now_s), claimed=claimed
        )
        if held_back:
            constraints = flooding.constraints(
                constraints, self._demand, self._decodes, now_s
            )
        if constraints is None:
            return choice.Blocked()
        placement = choice.choose(
            request, self._prefills, self._decodes, constraints, now_s
        )
        match placement:
            case choice.Placement(first_token_s=first_token_s):
                target_s = queued.queued_s + request.first_token_s
                rate_reported = (
                    placement.prefill
                    and placement.prefill.prefill_server.rate_reported
                )
                if rate_reported and first_token_s > target_s:
                    return self._refuse_unreachable(queued, now_s)
                return self._grant(queued, placement, now_s)
        return choice.Blocked() if held_back else placement

    def _drain_for(self, request, claimed):
        """Reserve one decode server for a request that must run alone.

        :returns: the servers that other requests claim.
        """
        if not self._drained_server_by_hold:
            candidates = self._decodes.candidates(request.excluded)
            if candidates:
                emptiest = min(candidates, key=lambda known: known.held_places)
                self._drained_server_by_hold[request.hold] = emptiest.server.id
        return claimed - {self._drained_server_by_hold.get(request.hold)}

    def _is_flooding(self, account):
        """Return whether an account floods and already holds enough."""
        held = self._grant_count_by_account[account]
        return flooding.is_flooding(
            account, held, self._demand, self._decodes.places
        )

    def _refuse_unreachable(self, queued, now_s):
        self._queue.remove(queued.request.hold)
        reason = outcomes.Reason.TARGET_UNREACHABLE
        return self._refuse(queued.request, reason, now_s)

    def _refuse(self, request, reason, now_s):
        hold = request.hold
        self._zones.left(hold)
        self._drained_server_by_hold.pop(hold, None)
        self._holds_by_owner[hold.owner].discard(hold)
        delay_s = self._return_times.next_delay_s(len(self._queue), now_s)
        return actions.Refuse(request.call, hold, reason, delay_s)

    def _grant(self, queued, placement, now_s):
        request = queued.request
        self._drained_server_by_hold.pop(request.hold, None)
        self._queue.grant(queued)
        self._zones.left(request.hold)
        self._return_times.record_grant(now_s)
        choice.book(placement, self._prefills, request)
        allocation = events.Allocation(
            request.hold,
            request.account,
            _id_of(placement.prefill),
            placement.decode.server.id,
            request.prompt_tokens,
            request.output_tokens,
            request.isolation,
            request.expected_tokens,
        )
        self._limits.take(allocation, now_s)
        self._allocate(
            allocation,
            request.between_tokens_s,
            placement.transfer_end_s,
            now_s,
        )
        return actions.Grant(
            request.call, request.hold, allocation.prefill, allocation.decode
        )


def _id_of(plan):
    """Return the id of a plan's server, empty without a plan."""
    return ids.ServerId('') if plan is None else plan.prefill_server.server.id


def _decode_duration_s(grant, now_s):
    if grant.decode_start_s is None:
        return None
    return max(0.0, now_s - grant.decode_start_s)
