"""Retries cancellations until confirmed or until the server is gone.

All that a server is to cancel goes in one order, one order at a time,
so that an unreachable server costs one connection.
"""

import dataclasses
import itertools

from bulrushrudder.core import ids
from bulrushrudder.state import servers

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 2.0
SETTLE_S = 1.0
GONE_S = 15.0
MAX_TARGETS = 256
MAX_BACK_OFF_STEPS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWanted:
    """A server may hold something for nobody.

    :param server: as it was when the attempt started.
    :param target: an attempt, or an owner whose attempts up to that
        incarnation are meant.
    """

    server: servers.BackendServer
    target: ids.AttemptId | ids.Owner


@dataclasses.dataclass(frozen=True, slots=True)
class CancelConfirmed:
    """A server has carried out an order.

    :param held: the targets for which it did hold something.
    """

    server: ids.ServerId
    held: frozenset[ids.AttemptId | ids.Owner]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelFailed:
    """An order got no answer."""

    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed or servers have changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendCancel:
    """Order a server to free what these targets hold."""

    server: servers.BackendServer
    targets: tuple[ids.AttemptId | ids.Owner, ...]


@dataclasses.dataclass(slots=True)
class _Orders:
    """What one run of a server is to cancel.

    :param due_s_by_target: when each target is to be sent.
    :param again: targets that were sent and found nothing once; they
        are sent again, as their start may have been on its way.
    """

    server: servers.BackendServer
    due_s_by_target: dict = dataclasses.field(default_factory=dict)
    again: set = dataclasses.field(default_factory=set)
    in_flight: tuple = ()
    failures: int = 0
    failing_since_s: float | None = None
    next_s: float = 0.0


class Cancellations:
    """Cancellations of a process that are not confirmed yet."""

    def __init__(self):
        self._orders_by_server: dict[ids.ServerId, _Orders] = {}

    @property
    def pending(self):
        """Return how many cancellations are not confirmed."""
        return sum(
            len(orders.due_s_by_target)
            for orders in self._orders_by_server.values()
        )

    def handle(self, event, servers_by_id, now_s):
        """Take an event and return the orders to send.

        :param servers_by_id: the servers that announce themselves.
        :param now_s: monotonic seconds.
        """
        match event:
            case CancelWanted():
                self._want(event, now_s)
            case CancelConfirmed():
                self._confirmed(event, now_s)
            case CancelFailed(server=server):
                self._failed(server, now_s)
            case Ticked():
                pass
            case _:
                raise AssertionError(f'unknown event {event!r}')
        self._forget_gone(servers_by_id, now_s)
        return list(self._due(now_s))

    def _want(self, event, now_s):
        server = event.server
        orders = self._orders_by_server.get(server.id)
        if orders is None or orders.server.incarnation < server.incarnation:
            orders = _Orders(server)
            self._orders_by_server[server.id] = orders
        if orders.server.incarnation == server.incarnation:
            orders.due_s_by_target.setdefault(event.target, now_s)

    def _confirmed(self, event, now_s):
        orders = self._orders_by_server.get(event.server)
        if orders is None:
            return
        sent, orders.in_flight = orders.in_flight, ()
        orders.failures = 0
        orders.failing_since_s = None
        orders.next_s = now_s
        for target in sent:
            if target in event.held or target in orders.again:
                orders.due_s_by_target.pop(target, None)
                orders.again.discard(target)
            else:
                orders.again.add(target)
                orders.due_s_by_target[target] = now_s + SETTLE_S
        if not orders.due_s_by_target:
            del self._orders_by_server[event.server]

    def _failed(self, server, now_s):
        orders = self._orders_by_server.get(server)
        if orders is None:
            return
        orders.in_flight = ()
        delay_s = min(FIRST_RETRY_S * 2**orders.failures, MAX_RETRY_S)
        orders.failures = min(orders.failures + 1, MAX_BACK_OFF_STEPS)
        orders.next_s = now_s + delay_s
        if orders.failing_since_s is None:
            orders.failing_since_s = now_s

    def _forget_gone(self, servers_by_id, now_s):
        self._orders_by_server = {
            server_id: orders
            for server_id, orders in self._orders_by_server.items()
            if _may_hold(orders, servers_by_id.get(server_id), now_s)
        }

    def _due(self, now_s):
        for orders in self._orders_by_server.values():
            if orders.in_flight or now_s < orders.next_s:
                continue
            due = (
                target
                for target, due_s in orders.due_s_by_target.items()
                if due_s <= now_s
            )
            orders.in_flight = tuple(itertools.islice(due, MAX_TARGETS))
            if orders.in_flight:
                yield SendCancel(orders.server, orders.in_flight)


def _may_hold(orders, present, now_s):
    """Return whether a server may still hold what it held.

    A server that leaves stays reachable while it drains.
    """
    if present is not None:
        return present.incarnation == orders.server.incarnation
    since_s = orders.failing_since_s
    return since_s is None or now_s - since_s < GONE_S
