"""Services that the requests of an entry process share."""

import asyncio
import math

from bulrushrudder.entry import crash_reporter
from bulrushrudder.entry import stream_recorder
from bulrushrudder.lifecycle import reachability
from bulrushrudder.lifecycle import retries
from bulrushrudder.utils import tasks

CALLS_POLL_S = 0.02
MAX_TASKS_WAIT_S = 60.0


class SharedServices:
    """Clients, roles and counters that all requests use.

    :param owner: the Owner that identifies this process.
    :param view: the View of the log.
    :param authority_client: the AuthorityClient.
    :param coordinator_client: the CoordinatorClient.
    :param engines: an EngineClient.
    :param service_router: the ServiceRouter.
    :param metrics: the EntryMetrics.
    :param control_client: the ControlClient, which proposes commands.
    :param canceller: the Canceller.
    :param call_registrar: the CallRegistrar.
    :param call_permits: the CallPermits.
    :param backpressure: the BackpressureMonitor.
    :ivar stream_recorder: the StreamRecorder of this process.
    :ivar crash_reporter: the CrashReporter of this process.
    :ivar retries: the RetryPolicy of this process.
    :ivar reachability: backend servers that could not be reached lately.
    :ivar running: the RequestExecutions in flight.
    :ivar leaving: whether the process reports unready to the load
        balancer.
    :ivar draining: whether it refuses new work.
    :ivar closing: whether it refuses all calls, since none are in flight
        any more.
    :ivar stop_requested_s: monotonic seconds at which the stop was
        requested, infinite before.
    :ivar stop_deadline_s: monotonic seconds at which work still in flight
        is abandoned; infinite before a stop or without a limit on it.
    :ivar calls: number of calls in flight.
    """

    def __init__(
        self,
        owner,
        view,
        authority_client,
        coordinator_client,
        engines,
        service_router,
        metrics,
        control_client,
        canceller,
        call_registrar,
        call_permits,
        backpressure,
    ):
        self.owner = owner
        self.view = view
        self.authority_client = authority_client
        self.coordinator_client = coordinator_client
        self.engines = engines
        self.service_router = service_router
        self.metrics = metrics
        self.control_client = control_client
        self.canceller = canceller
        self.call_registrar = call_registrar
        self.call_permits = call_permits
        self.backpressure = backpressure
        self.crash_reporter = crash_reporter.CrashReporter(
            view, control_client
        )
        self.stream_recorder = stream_recorder.StreamRecorder(
            view, control_client
        )
        self.retries = retries.RetryPolicy()
        self.reachability = reachability.Reachability()
        self.running = set()
        self.leaving = False
        self.draining = False
        self.closing = False
        self.stop_requested_s = math.inf
        self.stop_deadline_s = math.inf
        self.calls = 0
        self._tasks = set()
        self._last_request_number = 0

    def server(self, server_id):
        """Return a backend server by id, or None."""
        return self.view.state.servers.by_id.get(server_id)

    def next_request_number(self):
        """Return a request number that is unique within this process."""
        self._last_request_number += 1
        return self._last_request_number

    def spawn(self, coroutine):
        """Run a coroutine as a task that may outlive its request.

        :returns: the task.
        """
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(tasks.log_exception)
        return task

    async def finish(self):
        """Wait for all calls in flight and all spawned tasks.

        Returns at the deadline of the stop even if work is left.
        """
        loop = asyncio.get_running_loop()
        while self.calls and loop.time() < self.stop_deadline_s:
            await asyncio.sleep(CALLS_POLL_S)
        self.closing = True
        while self._tasks and loop.time() < self.stop_deadline_s:
            left_s = min(self.stop_deadline_s - loop.time(), MAX_TASKS_WAIT_S)
            await asyncio.wait(self._tasks, timeout=left_s)
