"""Orders backend servers to change between prefill and decode.

Only the leader sends orders, with its term as the fencing number. A new
leader first waits until the lease of its predecessor has expired, and
confirms its leadership by a quorum round before each batch of orders.
"""

import asyncio
import contextlib
import dataclasses

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.placement import balance

CHECK_INTERVAL_S = 0.5
# Time for entry processes to learn that the server gets no new work.
EXCLUSION_DELAY_S = 0.3
# A server announces its new kind up to one heartbeat after the change.
ANNOUNCEMENT_DELAY_S = 1.5
# An order whose outcome is unknown may still be executed within this time.
LATE_EXECUTION_S = 10.0
# When a server is replaced, the new one joins before the old one drains.
# No order is sent until this time after the last server has joined a pool.
JOIN_SETTLE_S = 3.0
# An order is sent within this share of the lease, counted from the quorum
# round that permits it. The rest is left for its way to the server, before
# a later leader sends its first one.
ORDER_VALIDITY_SHARE = 0.5
# Added to the lease, for the last order of the previous holder in flight.
LEASE_SLACK_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to a server to change its kind.

    :param kind: the kind to change to.
    :param holder: name of the process that sends it.
    :param fence: fencing number; increases with each leader.
    :param expires_s: seconds of the loop's clock after which it must not
        be sent any more, since another leader may send orders from then on.
    """

    kind: str
    holder: str
    fence: int
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The server executes an order, or has executed it before."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """The server does not execute an order.

    :param fenced: whether the fencing number was outdated, as a later
        holder has sent orders.
    """

    detail: str
    fenced: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OrderOutcomeUnknown:
    """The server may have executed an order, or may do so later."""

    detail: str


class OrderSender:
    """Sends orders to servers while its process leads.

    :param control: the ControlProcess.
    :param order_client: client that sends orders to servers.
    :param holder: name of this process in its orders.
    :param lease_s: seconds after an order during which no other holder
        may send one.
    """

    def __init__(self, control, order_client, holder, lease_s):
        self._control = control
        self._order_client = order_client
        self._holder = holder
        self._lease_s = lease_s + LEASE_SLACK_S
        self._leading_since_s = None
        self._term = None
        # By server id and model.
        self._busy_until_s_by_key = {}
        self._last_join_by_model = {}
        self._evacuated_zones = frozenset()
        self._stopping_event = asyncio.Event()

    async def run(self):
        """Send orders that are due, until stopped or cancelled."""
        while not self._stopping_event.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._stopping_event.wait()
            await self.check()

    def stop(self):
        """Send no more orders; run() ends when those sent are answered."""
        self._stopping_event.set()

    async def check(self):
        """Send the orders that are due."""
        self._track_joins()
        if self._may_order():
            await self._send_due_orders()

    def _track_joins(self):
        """Record when the last server joined each pool or changed its kind.

        Pools without a target yet are included, so that the first order
        need not wait. When a zone is evacuated, the targets are still those
        of the whole pools for a moment, so this counts as a join.
        """
        table = self._control.node.state.servers
        zones_changed = table.evacuated_zones != self._evacuated_zones
        self._evacuated_zones = table.evacuated_zones
        for model, servers_by_id in table.by_served.items():
            members = frozenset(
                (server.id, server.kind) for server in servers_by_id.values()
            )
            known, joined_s = self._last_join_by_model.get(
                model, (frozenset(), 0.0)
            )
            if members - known or zones_changed:
                joined_s = _now_s()
            self._last_join_by_model[model] = members, joined_s

    def _has_settled(self, model):
        """Return whether no server has joined a pool recently."""
        known = self._last_join_by_model.get(model)
        return known is not None and _now_s() - known[1] >= JOIN_SETTLE_S

    def _may_order(self):
        node = self._control.node
        if not node.is_ready_leader or self._stopping_event.is_set():
            self._leading_since_s = None
            return False
        now_s = _now_s()
        if self._leading_since_s is None or self._term != node.replica.term:
            self._leading_since_s = now_s
            self._term = node.replica.term
        return now_s - self._leading_since_s >= self._lease_s

    async def _send_due_orders(self):
        now_s = _now_s()
        self._busy_until_s_by_key = {
            key: until_s
            for key, until_s in self._busy_until_s_by_key.items()
            if until_s > now_s
        }
        state = self._control.node.state
        for model, prefills in tuple(
            state.pool_targets.prefills_by_model.items()
        ):
            if self._has_pending_order(model) or not self._has_settled(model):
                continue
            pool = state.servers.by_served.get(model, {})
            changes = balance.next_changes(tuple(pool.values()), prefills)
            if changes:
                await self._change_kinds(model, pool, changes)

    def _has_pending_order(self, model):
        """Return whether an order to a server of a pool is pending."""
        return any(key[1] == model for key in self._busy_until_s_by_key)

    async def _change_kinds(self, model, pool, changes):
        """Exclude servers from new work and order them to change.

        :param pool: the servers of the model by id.
        :param changes: the KindChanges.
        """
        change_s = self._control.kind_change_s(model)
        until_s = (
            _now_s() + EXCLUSION_DELAY_S + change_s + ANNOUNCEMENT_DELAY_S
        )
        orders = [(pool[change.server], change.kind) for change in changes]
        for server, _ in orders:
            await self._control.exclude(server, until_s)
        await asyncio.sleep(EXCLUSION_DELAY_S)
        term = self._term
        expires_s = _now_s() + self._lease_s * ORDER_VALIDITY_SHARE
        leads = await self._leads_in(term)
        if not leads or self._stopping_event.is_set():
            for server, _ in orders:
                self._control.readmit(server)
            return
        await asyncio.gather(
            *(
                self._send(
                    server,
                    model,
                    Order(kind, self._holder, term, expires_s),
                    until_s,
                )
                for server, kind in orders
            )
        )

    async def _leads_in(self, term):
        """Return whether a quorum confirms the leadership in a term."""
        node = self._control.node
        index = await node.read_index_as_leader()
        return index is not None and node.replica.term == term

    async def _send(self, server, model, order, until_s):
        """Send an order to a server and record until when it is pending.

        :param until_s: monotonic seconds at which the server announces
            its new kind if it accepts.
        """
        change_s = self._control.kind_change_s(model)
        match await self._order_client.order(server, order):
            case OrderAccepted():
                outcome = 'taken'
            case OrderRefused(detail=outcome, fenced=fenced):
                self._control.readmit(server)
                until_s = _now_s() + (LATE_EXECUTION_S if fenced else change_s)
            case OrderOutcomeUnknown(detail=outcome):
                self._control.readmit(server)
                until_s = _now_s() + LATE_EXECUTION_S
        self._busy_until_s_by_key[server.id, model] = until_s
        log.emit(
            catalogue.KIND_CHANGE_ORDERED,
            server=server.id,
            kind=order.kind,
            fence=order.fence,
            wanted=self._control.node.state.pool_targets.prefills_by_model.get(
                model
            ),
            outcome=outcome,
        )


def _now_s():
    return asyncio.get_running_loop().time()
