"""Has servers of engines change their kind, from the leader alone.

The term is the fencing number. A leader waits out the lease of the one
before it, and makes sure by a quorum round that it still leads before
each order.
"""

import asyncio
import dataclasses

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.placement import balance

CHECK_INTERVAL_S = 0.5
# Entries learn within this time that the server gets no new work.
EXCLUSION_DELAY_S = 0.3
# What a server announces lags behind its change by up to a heartbeat.
ANNOUNCEMENT_DELAY_S = 1.5
# An order that got no clear answer may be carried out this much later.
LATE_EXECUTION_S = 10.0
# A pool whose servers are replaced has a new one before the old one
# drains; nothing is ordered until its servers have stayed the same so
# long.
POOL_STABLE_S = 3.0
# Beside the lease of the holder before, for its last order on its way.
LEASE_SLACK_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to a server.

    :param holder: names the process that gives it.
    :param fence: grows with each leader.
    """

    kind: str
    holder: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The server carries an order out, or had done so before."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """The server does not carry an order out.

    :param fenced: whether a later holder has given it orders.
    """

    detail: str
    fenced: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OrderOutcomeUnknown:
    """The server may carry an order out, also later."""

    detail: str


class OrderSender:
    """Gives orders while its process leads.

    :param control: the ControlProcess.
    :param engines: the client that carries orders to servers.
    :param holder: names this process.
    :param lease_s: seconds that no other holder gives orders after one
        has.
    """

    def __init__(self, control, order_client, holder, lease_s):
        self._control = control
        self._order_client = order_client
        self._holder = holder
        self._lease_s = lease_s + LEASE_SLACK_S
        self._leading_since_s = None
        self._term = None
        self._busy_until_s_by_server = {}
        self._members_since_by_model = {}

    async def run(self):
        """Give orders until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self):
        """Give the orders that are due."""
        self._track_pool_members()
        if self._may_order():
            await self._send_due_orders()

    def _track_pool_members(self):
        """Note since when each pool has had the same servers."""
        state = self._control.node.state
        for model in state.pool_targets.prefills_by_model:
            members = frozenset(state.servers.by_served.get(model, {}))
            known = self._members_since_by_model.get(model)
            if known is None or known[0] != members:
                self._members_since_by_model[model] = members, _now_s()

    def _is_stable(self, model):
        _, since_s = self._members_since_by_model[model]
        return _now_s() - since_s >= POOL_STABLE_S

    def _may_order(self):
        node = self._control.node
        if not node.is_ready_leader:
            self._leading_since_s = None
            return False
        now_s = _now_s()
        if self._leading_since_s is None or self._term != node.replica.term:
            self._leading_since_s = now_s
            self._term = node.replica.term
        return now_s - self._leading_since_s >= self._lease_s

    async def _send_due_orders(self):
        now_s = _now_s()
        self._busy_until_s_by_server = {
            key: until_s
            for key, until_s in self._busy_until_s_by_server.items()
            if until_s > now_s
        }
        state = self._control.node.state
        for model, prefills in tuple(
            state.pool_targets.prefills_by_model.items()
        ):
            if self._has_pending_order(model) or not self._is_stable(model):
                continue
            pool = state.servers.by_served.get(model, {})
            change = balance.next_change(tuple(pool.values()), prefills)
            if change is not None:
                await self._change_kind(
                    pool[change.server], model, change.kind
                )

    def _has_pending_order(self, model):
        """Return whether a server of a pool is under an order."""
        return any(key[1] == model for key in self._busy_until_s_by_server)

    async def _change_kind(self, server, model, kind):
        change_s = self._control.change_s(model)
        until_s = (
            _now_s() + EXCLUSION_DELAY_S + change_s + ANNOUNCEMENT_DELAY_S
        )
        await self._control.exclude(server, until_s)
        await asyncio.sleep(EXCLUSION_DELAY_S)
        if await self._control.node.read_index_as_leader() is None:
            self._control.readmit(server)
            return
        order = Order(kind, self._holder, self._term)
        match await self._order_client.order(server, order):
            case OrderAccepted():
                outcome = 'taken'
            case OrderRefused(detail=outcome, fenced=fenced):
                self._control.readmit(server)
                until_s = _now_s() + (LATE_EXECUTION_S if fenced else change_s)
            case OrderOutcomeUnknown(detail=outcome):
                self._control.readmit(server)
                until_s = _now_s() + LATE_EXECUTION_S
        self._busy_until_s_by_server[server.id, model] = until_s
        log.emit(
            catalogue.SERVER_ORDERED,
            server=server.id,
            kind=kind,
            fence=order.fence,
            wanted=self._control.node.state.pool_targets.prefills_by_model.get(
                model
            ),
            outcome=outcome,
        )


def _now_s():
    return asyncio.get_running_loop().time()
