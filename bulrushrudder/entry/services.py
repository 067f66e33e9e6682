"""What all requests of an entry process share."""

import asyncio
import math

from bulrushrudder.lifecycle import reachability
from bulrushrudder.lifecycle import retries
from bulrushrudder.utils import tasks

CALLS_POLL_S = 0.02
MAX_TASKS_WAIT_S = 60.0


class Services:
    """Clients, roles and counters of an entry process.

    :param owner: this process.
    :param view: the View of the log.
    :param authorities: the Authorities.
    :param coordinators: the Coordinators.
    :param engines: an EngineClient.
    :param plain: a ServiceClient.
    :param metrics: the Metrics.
    :param observing: the Observing, which proposes commands.
    :param cancelling: the Cancelling.
    :param registering: the Registering.
    :ivar leaving: whether the process is unready for the balancer.
    :ivar draining: whether it refuses new work.
    :ivar closing: whether it refuses all, as nothing is in flight.
    :ivar leave_s: monotonic seconds at which it was told to stop.
    :ivar stop_by_s: monotonic seconds by which all must be finished,
        once the process was told to stop.
    :ivar calls: how many calls are in flight.
    """

    def __init__(
        self,
        owner,
        view,
        authorities,
        coordinators,
        engines,
        plain,
        metrics,
        observing,
        cancelling,
        registering,
    ):
        self.owner = owner
        self.view = view
        self.authorities = authorities
        self.coordinators = coordinators
        self.engines = engines
        self.plain = plain
        self.metrics = metrics
        self.observing = observing
        self.cancelling = cancelling
        self.registering = registering
        self.retries = retries.RetryPolicy()
        self.reachability = reachability.Reachability()
        self.running = set()
        self.leaving = False
        self.draining = False
        self.closing = False
        self.leave_s = math.inf
        self.stop_by_s = math.inf
        self.calls = 0
        self._tasks = set()
        self._last_request_number = 0

    def server(self, server_id):
        """Return a backend server by id, or None."""
        return self.view.state.servers.by_id.get(server_id)

    def next_request(self):
        """Return a number that no other request of this run has."""
        self._last_request_number += 1
        return self._last_request_number

    def spawn(self, coroutine):
        """Run a coroutine that outlives its request.

        :returns: the task.
        """
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(tasks.report)
        return task

    async def finish(self):
        """Wait for all calls and all that was spawned.

        What is not done when the process must be gone is cut.
        """
        loop = asyncio.get_running_loop()
        while self.calls and loop.time() < self.stop_by_s:
            await asyncio.sleep(CALLS_POLL_S)
        self.closing = True
        while self._tasks and loop.time() < self.stop_by_s:
            left_s = min(self.stop_by_s - loop.time(), MAX_TASKS_WAIT_S)
            await asyncio.wait(self._tasks, timeout=left_s)
