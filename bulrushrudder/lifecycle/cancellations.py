"""Retries cancellations until they are confirmed or the server is gone.

Each server gets one order at a time, which combines the targets that are
due, so that an unreachable server occupies at most one connection.
"""

import dataclasses
import itertools

from bulrushrudder.core import ids
from bulrushrudder.state import servers

FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
RECHECK_DELAY_S = 1.0
UNREACHABLE_TIMEOUT_S = 15.0
MAX_TARGETS_PER_ORDER = 256
MAX_BACK_OFF_STEPS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequested:
    """A server may hold resources that are no longer in use.

    :param server: as it was announced when the attempt started.
    :param target: an attempt, or an owner, which covers all attempts of
        its VM up to and including its incarnation.
    """

    server: servers.BackendServer
    target: ids.AttemptId | ids.Owner


@dataclasses.dataclass(frozen=True, slots=True)
class CancelConfirmed:
    """A server carried out an order.

    :param held: the targets for which the server held resources.
    """

    server: ids.ServerId
    held: frozenset[ids.AttemptId | ids.Owner]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelFailed:
    """An order was not answered."""

    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed, or the announced servers have changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendCancel:
    """Order a server to free the resources of some targets."""

    server: servers.BackendServer
    targets: tuple[ids.AttemptId | ids.Owner, ...]


@dataclasses.dataclass(slots=True)
class _ServerQueue:
    """Unconfirmed cancellations for one incarnation of a server.

    :param due_s_by_target: monotonic time at which to send each target.
    :param not_found_once: targets for which the server held nothing when
        first asked; they are sent once more, because the order that
        started them may have been in flight.
    :param in_flight: targets of the order that awaits its answer.
    :param failures: consecutive orders without an answer, capped.
    :param failing_since_s: monotonic time of the first of these.
    :param next_order_s: monotonic time before which no order is sent.
    """

    server: servers.BackendServer
    due_s_by_target: dict = dataclasses.field(default_factory=dict)
    not_found_once: set = dataclasses.field(default_factory=set)
    in_flight: tuple = ()
    failures: int = 0
    failing_since_s: float | None = None
    next_order_s: float = 0.0


class Cancellations:
    """The unconfirmed cancellations of a process."""

    def __init__(self):
        self._queues_by_server: dict[ids.ServerId, _ServerQueue] = {}

    @property
    def pending(self):
        """Return the number of unconfirmed cancellations."""
        return sum(
            len(queue.due_s_by_target)
            for queue in self._queues_by_server.values()
        )

    def handle(self, event, servers_by_id, now_s):
        """Handle an event and return the orders to send.

        :param servers_by_id: the announced servers.
        :param now_s: monotonic seconds.
        """
        match event:
            case CancelRequested():
                self._enqueue(event, now_s)
            case CancelConfirmed():
                self._confirmed(event, now_s)
            case CancelFailed(server=server):
                self._failed(server, now_s)
            case Ticked():
                pass
            case _:
                raise AssertionError(f'unknown event {event!r}')
        self._drop_gone_servers(servers_by_id, now_s)
        return list(self._due_orders(now_s))

    def _enqueue(self, event, now_s):
        server = event.server
        queue = self._queues_by_server.get(server.id)
        if queue is None or queue.server.incarnation < server.incarnation:
            queue = _ServerQueue(server)
            self._queues_by_server[server.id] = queue
        if queue.server.incarnation == server.incarnation:
            queue.due_s_by_target.setdefault(event.target, now_s)

    def _confirmed(self, event, now_s):
        queue = self._queues_by_server.get(event.server)
        if queue is None:
            return
        sent, queue.in_flight = queue.in_flight, ()
        queue.failures = 0
        queue.failing_since_s = None
        queue.next_order_s = now_s
        for target in sent:
            if target in event.held or target in queue.not_found_once:
                queue.due_s_by_target.pop(target, None)
                queue.not_found_once.discard(target)
            else:
                queue.not_found_once.add(target)
                queue.due_s_by_target[target] = now_s + RECHECK_DELAY_S
        if not queue.due_s_by_target:
            del self._queues_by_server[event.server]

    def _failed(self, server, now_s):
        queue = self._queues_by_server.get(server)
        if queue is None:
            return
        queue.in_flight = ()
        delay_s = min(
            FIRST_RETRY_DELAY_S * 2**queue.failures, MAX_RETRY_DELAY_S
        )
        queue.failures = min(queue.failures + 1, MAX_BACK_OFF_STEPS)
        queue.next_order_s = now_s + delay_s
        if queue.failing_since_s is None:
            queue.failing_since_s = now_s

    def _drop_gone_servers(self, servers_by_id, now_s):
        self._queues_by_server = {
            server_id: queue
            for server_id, queue in self._queues_by_server.items()
            if _may_hold_targets(queue, servers_by_id.get(server_id), now_s)
        }

    def _due_orders(self, now_s):
        for queue in self._queues_by_server.values():
            if queue.in_flight or now_s < queue.next_order_s:
                continue
            due = (
                target
                for target, due_s in queue.due_s_by_target.items()
                if due_s <= now_s
            )
            queue.in_flight = tuple(
                itertools.islice(due, MAX_TARGETS_PER_ORDER)
            )
            if queue.in_flight:
                yield SendCancel(queue.server, queue.in_flight)


def _may_hold_targets(queue, announced, now_s):
    """Return whether a server may still hold resources of its targets.

    A server that is no longer announced may still be draining, so its
    cancellations are retried until it has been unreachable for
    UNREACHABLE_TIMEOUT_S.
    """
    if announced is not None:
        return announced.incarnation == queue.server.incarnation
    failing_since_s = queue.failing_since_s
    return (
        failing_since_s is None
        or now_s - failing_since_s < UNREACHABLE_TIMEOUT_S
    )
