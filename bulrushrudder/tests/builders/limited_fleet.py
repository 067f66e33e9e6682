"""A simulated fleet in virtual time before plain servers with limits."""

import heapq
import itertools
import random

from bulrushrudder.backpressure import statements
from bulrushrudder.backpressure import table
from bulrushrudder.core import ids
from bulrushrudder.entry import limit_reports
from bulrushrudder.placement import actions
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.tests.builders import fleet

MAX_DELAY_S = 0.05
COMMIT_INTERVAL_S = 0.5
HANDOVER_INTERVAL_S = 6.0
BINDS_AFTER_S = 0.5


class LimitedFleet:
    """VMs that call limited servers through a coordinator.

    Messages take random times and overtake each other. The coordinator
    moves now and then to a VM that knows only what the log has.

    :param seed: of all random choices.
    :param vms: number of VMs.
    :param requests_per_s: demand of all VMs together.
    :ivar arrivals: tuples of server, VM and time of each request.
    :ivar known_since_s: time of the first limit by server and VM.
    """

    def __init__(self, seed, vms, requests_per_s):
        self._draw = random.Random(seed)
        self._requests_per_s = requests_per_s
        self._limits_by_id = {}
        self._servers_by_id = {}
        self._recorded_by_id = {}
        self._tables = [table.StatementTable() for _ in range(vms)]
        self._reports = [limit_reports.LimitReports() for _ in range(vms)]
        self._host = fleet.owner('vm0')
        self._coordinator = None
        self._steps = []
        self._numbers = itertools.count()
        self._now_s = 0.0
        self.arrivals = []
        self.known_since_s = {}

    def run(self, limits_by_id, seconds):
        """Let the VMs call the servers for some time."""
        self._limits_by_id = dict(limits_by_id)
        self._servers_by_id = {
            server_id: fleet.server(server_id, 'service')
            for server_id in limits_by_id
        }
        self._take_over()
        self._schedule(self._demand, 0.0)
        self._schedule(self._commit, COMMIT_INTERVAL_S)
        self._schedule(self._hand_over, HANDOVER_INTERVAL_S)
        while self._steps and self._steps[0][0] < seconds:
            self._now_s, _, step, arguments = heapq.heappop(self._steps)
            step(*arguments)

    def end_limit(self, server_id):
        """End the limit of a server."""
        self._limits_by_id[server_id] = None

    def most_in(self, server_id, window_s):
        """Return the most requests in a window that the rule counts."""
        times = [
            now_s
            for server, vm, now_s in self.arrivals
            if server == server_id
            and now_s
            >= self.known_since_s.get((server, vm), now_s) + BINDS_AFTER_S
        ]
        return max(
            (sum(t <= u < t + window_s for u in times) for t in times),
            default=0,
        )

    def _schedule(self, step, delay_s, *arguments):
        entry = (self._now_s + delay_s, next(self._numbers), step, arguments)
        heapq.heappush(self._steps, entry)

    def _after_delay(self, step, *arguments):
        self._schedule(step, self._draw.uniform(0.0, MAX_DELAY_S), *arguments)

    def _demand(self):
        self._schedule(
            self._demand, self._draw.expovariate(self._requests_per_s)
        )
        vm = self._draw.randrange(len(self._tables))
        server_id = self._draw.choice(sorted(self._servers_by_id))
        if self._limit(vm, server_id) is None:
            self._after_delay(self._arrive, vm, server_id, self._now_s)
        else:
            self._after_delay(self._ask, vm, server_id)

    def _limit(self, vm, server_id):
        """Return the limit of a server that a VM knows, None without one."""
        stated = self._tables[vm].requests_per_s(
            self._servers_by_id[server_id]
        )
        return (
            self._recorded_by_id.get(server_id) if stated is None else stated
        )

    def _ask(self, vm, server_id):
        limit = events.LimitReported(server_id, 1, self._limit(vm, server_id))
        asked = events.CallRequested(1, (limit,), 1.0)
        for decided in self._coordinator.handle(asked, self._now_s):
            match decided:
                case actions.GrantCall(wait_s=wait_s):
                    self._schedule(self._send, wait_s, vm, server_id)

    def _send(self, vm, server_id):
        self._after_delay(self._arrive, vm, server_id, self._now_s)

    def _arrive(self, vm, server_id, sent_s):
        self.arrivals.append((server_id, vm, self._now_s))
        stated = statements.RateLimit(self._limits_by_id[server_id])
        self._after_delay(self._answer, vm, server_id, sent_s, stated)

    def _answer(self, vm, server_id, sent_s, stated):
        server = self._servers_by_id[server_id]
        answer = statements.Answer(sent_s, self._now_s, (stated,))
        self._tables[vm].record(server, answer)
        if stated.requests_per_s is not None:
            self.known_since_s.setdefault((server_id, vm), self._now_s)
        recorded = self._recorded_by_id.get(server_id)
        known = self._tables[vm].requests_per_s(server)
        if self._reports[vm].is_due(
            server, known, recorded, self._host, answer
        ):
            report = events.LimitReported(server_id, 1, known)
            self._after_delay(self._report, report)

    def _report(self, report):
        self._coordinator.handle(report, self._now_s)

    def _commit(self):
        for server_id, (_, limit) in self._coordinator.limits_by_id.items():
            self._recorded_by_id[server_id] = limit
        self._schedule(self._commit, COMMIT_INTERVAL_S)

    def _hand_over(self):
        number = self._draw.randrange(len(self._tables))
        self._host = fleet.owner(f'vm{number}', int(self._now_s * 1000))
        self._take_over()
        self._schedule(self._hand_over, HANDOVER_INTERVAL_S)

    def _take_over(self):
        self._coordinator = coordinator.Coordinator()
        for server_id, limit in self._recorded_by_id.items():
            if limit is not None:
                report = events.LimitReported(
                    ids.ServerId(server_id), 1, limit
                )
                self._coordinator.handle(report, self._now_s)
        present = tuple(self._servers_by_id.values())
        self._coordinator.handle(events.ServersChanged(present), self._now_s)
