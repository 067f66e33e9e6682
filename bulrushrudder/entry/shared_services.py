"""Services that the requests of an entry process share."""

import asyncio

from bulrushrudder.entry import calls_in_flight
from bulrushrudder.entry import crash_reporter
from bulrushrudder.entry import stream_recorder
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import reachability
from bulrushrudder.lifecycle import retries
from bulrushrudder.lifecycle import shutdown
from bulrushrudder.placement import crossing
from bulrushrudder.utils import tasks

MAX_TASKS_WAIT_S = 60.0
# Time to answer calls that could not be finished.
FINAL_ANSWER_S = 0.1


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
    :param doubts: function of a BackendServer that returns whether a lost
        path of this VM can explain a failed call.
    :param costs: what the bytes between zones cost.
    :ivar stream_recorder: the StreamRecorder of this process.
    :ivar crash_reporter: the CrashReporter of this process.
    :ivar retries: the RetryPolicy of this process.
    :ivar reachability: backend servers that could not be reached lately.
    :ivar running: the RequestExecutions in flight.
    :ivar shutdown: the Shutdown, or None if no stop was requested.
    :ivar in_flight: the CallsInFlight.
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
        doubts=lambda server: False,
        costs=crossing.FIXED,
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
        self.doubts = doubts
        self.costs = costs
        self.crash_reporter = crash_reporter.CrashReporter(
            view, control_client
        )
        self.stream_recorder = stream_recorder.StreamRecorder(
            view, control_client
        )
        self.retries = retries.RetryPolicy(asyncio.get_running_loop().time())
        self.reachability = reachability.Reachability()
        self.running = set()
        self.shutdown = None
        self.in_flight = calls_in_flight.CallsInFlight()
        self._tasks = set()
        self._last_request_number = 0

    @property
    def calls(self):
        """Return the number of accepted calls that are not answered."""
        return self.in_flight.number

    @property
    def leaving(self):
        """Return whether the process reports unready to balancers."""
        return self.shutdown is not None

    @property
    def draining(self):
        """Return whether the process refuses new calls."""
        return not self.accepts()

    def accepts(self, needed_s=0.0):
        """Return whether a call that arrives now is accepted.

        :param needed_s: seconds that the call needs.
        """
        if self.shutdown is None:
            return True
        now_s = asyncio.get_running_loop().time()
        return self.shutdown.accepts(now_s, needed_s)

    def begin_shutdown(self, planned):
        """Begin a stop.

        :param planned: the Shutdown.
        """
        self.shutdown = planned

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

    async def _end_calls(self):
        """Let the calls in flight get their final answers."""
        log.emit(catalogue.CALLS_ABANDONED, calls=self.calls)
        loop = asyncio.get_running_loop()
        for execution in tuple(self.running):
            execution.end_for_shutdown()
        await self.in_flight.wait_until_finished(loop.time() + FINAL_ANSWER_S)
        self.in_flight.end_calls()
        await self.in_flight.wait_until_finished(loop.time() + FINAL_ANSWER_S)

    async def finish(self):
        """Finish all accepted calls and all spawned tasks.

        Calls that are not finished in time get a final answer; without a
        shutdown, there is no limit.
        """
        loop = asyncio.get_running_loop()
        planned = self.shutdown or shutdown.plan(loop.time(), 0.0)
        await self.in_flight.wait_until_finished(planned.send_until_s)
        if self.calls:
            self.in_flight.end_waits()
            await self.in_flight.wait_until_finished(planned.finish_until_s)
        if self.calls:
            await self._end_calls()
        while self._tasks and loop.time() < planned.end_s:
            left_s = planned.left_s(loop.time(), MAX_TASKS_WAIT_S)
            await asyncio.wait(self._tasks, timeout=left_s)
