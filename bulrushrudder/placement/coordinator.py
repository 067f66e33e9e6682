"""Coordinator of a model: grants places on its backend servers."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.overload import return_times
from bulrushrudder.placement import actions
from bulrushrudder.placement import balance
from bulrushrudder.placement import choice
from bulrushrudder.placement import crossing
from bulrushrudder.placement import decodes
from bulrushrudder.placement import demand
from bulrushrudder.placement import drains
from bulrushrudder.placement import early_refusal
from bulrushrudder.placement import evacuated_pools
from bulrushrudder.placement import events
from bulrushrudder.placement import fair_queue
from bulrushrudder.placement import figure_ages
from bulrushrudder.placement import flooding
from bulrushrudder.placement import hold_table
from bulrushrudder.placement import measurements
from bulrushrudder.placement import model_zones
from bulrushrudder.placement import pool_limits
from bulrushrudder.placement import prefills
from bulrushrudder.placement import rank_counts
from bulrushrudder.placement import rank_room

MAX_BOOKED_AHEAD = 6
# Accounts of a queue class that are considered for one grant.
MAX_QUEUE_HEADS = 8


class Coordinator:
    """Grants places on the servers of a model and queues requests for them.

    :param ready_s: monotonic seconds before which nothing is granted,
        so that owners can report what they hold.
    :param max_booked_ahead: limit of places per decode server that are granted
        before the requests in them have ended.
    :param cold_bounds: the ColdBounds, or None.
    :param costs: what the bytes between zones cost.
    """

    def __init__(
        self,
        ready_s=0.0,
        max_booked_ahead=MAX_BOOKED_AHEAD,
        cold_bounds=None,
        costs=crossing.FIXED,
    ):
        self._ready_s = ready_s
        self._is_emptied = False
        self._queue = fair_queue.FairQueue()
        self._prefills = prefills.PrefillPool()
        self._decodes = decodes.DecodePool(max_booked_ahead)
        self._holds = hold_table.HoldTable(self._decodes)
        self._demand = demand.AccountDemand()
        self._average_work = balance.AverageWork()
        self._drains = drains.Drains()
        self._return_times = return_times.ReturnTimes()
        self._ages = figure_ages.FigureAges()
        self._zones = model_zones.ModelZones(
            costs, self._prefills, self._decodes
        )
        self._room = rank_room.RankRoom()
        self._rank_counts = rank_counts.RankCounts()
        self._limits = pool_limits.PoolLimits(
            self._prefills, self._decodes, cold_bounds
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
            claimed=self._drains.claimed,
            limiter=self._limits.pacing,
            costs=self._zones.costs,
            preference=self._zones.preference(request, now_s),
        )

    @property
    def allocations(self):
        """Return all Allocations."""
        return self._holds.allocations

    @property
    def limits_by_id(self):
        """Return pairs of incarnation and limit by server.

        It covers the servers that have stated a limit, or its end.
        """
        return self._limits.limiter.limits_by_id

    def take_rank_counts(self):
        """Return the RankCounts since the last call."""
        taken = self._rank_counts
        taken.queued = self._queue.backlog.by_rank()
        self._rank_counts = rank_counts.RankCounts()
        return taken

    def wanted_prefills(self):
        """Return the target number of prefill servers, None if unknown."""
        return balance.wanted_of_pools(
            self._average_work.work, self._prefills, self._decodes
        )

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
            case (
                events.LimitReported()
                | events.CallRequested()
                | events.ColdCallRequested()
                | events.ContactChanged()
            ):
                return self._limits.handle(event, self._return_times, now_s)
            case events.PlaceReleased(hold=hold):
                grant = self._holds.grant_of(hold)
                if grant is not None:
                    measurements.record(
                        event, grant.allocation, self.pools, self._ages, now_s
                    )
                self._release(hold, now_s)
            case events.ServersChanged():
                return self._update_servers(event, now_s)
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
                self._release_all(self._holds.update_owners(owners), now_s)
            case events.Ticked():
                pass
            case _:
                raise AssertionError(f'unknown event {event!r}')
        return []

    def _enqueue(self, request, now_s):
        self._holds.open(request.hold)
        tokens = request.prompt_tokens + request.output_tokens
        self._demand.record(request.account, request.weight, tokens, now_s)
        self._record_work(request)
        rank = self._queue.shares.resolve(request.rank, now_s)
        backlog_s = self._limits.backlog_s(
            self._queue.backlog.up_to(rank), self._return_times.pace(now_s)
        )
        if self._is_emptied or backlog_s > request.patience_s:
            return [self._refuse(request, outcomes.Reason.NO_SERVER, now_s)]
        self._queue.add(request, now_s, self._lead_s(request))
        self._zones.arrived(request, now_s)
        self._room.record_request(rank, now_s)
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

    def _release(self, hold, now_s):
        self._drains.end(hold)
        self._queue.remove(hold)
        self._zones.left(hold)
        if self._holds.release(hold, now_s):
            self._room.record_release(now_s)

    def _release_all(self, holds, now_s):
        for hold in holds:
            self._release(hold, now_s)

    def _update_servers(self, change, now_s):
        servers = change.servers
        by_id = {server.id: server for server in servers}
        # A zone may be restored before its servers state their limits anew.
        self._limits.update_servers((*servers, *change.evacuated), now_s)
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
                    self._holds.count_restored(server.id, now_s)
        self._is_emptied = evacuated_pools.is_emptied(change)
        return self._refuse_queued(now_s) if self._is_emptied else []

    def _reconcile(self, event, now_s):
        """Release holds that an owner lacks and request unknown ones."""
        ended, unknown = self._holds.compare(event)
        self._release_all(ended, now_s)
        if not unknown:
            return []
        return [actions.RequestAllocations(event.owner, unknown)]

    def _restore(self, allocations, now_s):
        for allocation in allocations:
            if self._holds.grant_of(allocation.hold) is None:
                self._queue.remove(allocation.hold)
                self._holds.allocate(allocation, float('inf'), None, now_s)

    def _dispatch(self, now_s):
        decided = [
            self._refuse(queued.request, outcomes.Reason.NO_SERVER, now_s)
            for queued in self._queue.expired(now_s)
        ]
        late = self._queue.demote(now_s)
        decided += [
            self._refuse(queued.request, outcomes.Reason.NO_SERVER, now_s)
            for queued in early_refusal.hopeless(
                late, self._queue, self._return_times, now_s
            )
        ]
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
        claimed = self._drains.claimed
        for queue_class in fair_queue.QueueClass:
            blocked = False
            for queued in self._queue.heads(
                queue_class, MAX_QUEUE_HEADS, now_s
            ):
                if self._leaves_room(queued, now_s):
                    continue
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
            claimed = self._drains.reserve(request, self._decodes, claimed)
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

    def _leaves_room(self, queued, now_s):
        """Return whether a request leaves the free room to higher ranks."""
        if not self._room.is_kept_from(queued, self._decodes, now_s):
            return False
        return not self._queue.shares.below_least(queued.rank, now_s)

    def _is_flooding(self, account):
        """Return whether an account floods and already holds enough."""
        held = self._holds.grant_count(account)
        return flooding.is_flooding(
            account, held, self._demand, self._decodes.places
        )

    def _refuse_unreachable(self, queued, now_s):
        self._queue.remove(queued.request.hold)
        reason = outcomes.Reason.TARGET_UNREACHABLE
        return self._refuse(queued.request, reason, now_s)

    def _refuse_queued(self, now_s):
        """Refuse all queued requests, since no server will take them."""
        return [
            self._refuse(queued.request, outcomes.Reason.NO_SERVER, now_s)
            for queued in self._queue.take_all()
        ]

    def _refuse(self, request, reason, now_s):
        hold = request.hold
        self._zones.left(hold)
        self._drains.end(hold)
        self._holds.close(hold)
        rank = self._queue.shares.resolve(request.rank, now_s)
        self._rank_counts.refused[rank] += 1
        delay_s = self._return_times.next_delay_s(len(self._queue), now_s)
        return actions.Refuse(request.call, hold, reason, delay_s)

    def _grant(self, queued, placement, now_s):
        request = queued.request
        self._drains.end(request.hold)
        self._queue.grant(queued, now_s)
        self._zones.left(request.hold)
        self._return_times.record_grant(now_s)
        self._rank_counts.granted[queued.rank] += 1
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
        self._holds.allocate(
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
