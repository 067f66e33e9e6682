"""Carries out what the lifecycle of a request decides."""

import asyncio
import contextlib

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.entry import pace
from bulrushrudder.entry import tracing
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events
from bulrushrudder.lifecycle import request as lifecycle
from bulrushrudder.protocol import place_messages
from bulrushrudder.state import quarantine
from bulrushrudder.state import results

REPORT_S = 1.0
# No request runs longer, whatever its deadline.
MAX_RUN_S = 900.0


class Execution:
    """One request to a model, from admission to its end.

    One step is under way at a time: a question, a delay or an order to
    an engine. Its events are handled where they arise, so that a caller
    who reads slowly holds up the engine and nothing is queued between.

    :param job: the lifecycle Job.
    :param admitted: the Admitted call.
    :param services: a Services with what executions share.
    :param request_id: names the request in logs.
    :ivar sink: takes Relay, Complete and Refuse actions; set before
        the request runs.
    """

    def __init__(self, job, admitted, services, request_id):
        self.admitted = admitted
        self.sink = None
        self._job = job
        self._services = services
        self._request = lifecycle.Request(job, services.retries)
        self._servers_by_id = {}
        self._next = None
        self._step = None
        self._last_actions = []
        self._charge = None
        self._loop = asyncio.get_running_loop()
        self._pace = pace.Pace(job.event_tokens)
        self._trace = tracing.Trace(
            request_id, services.view, self._loop, self._waited_s()
        )
        self._latency = services.metrics.latency(
            admitted.route.id, job.account, self._loop.time()
        )

    async def run(self):
        """Run the request to its end."""
        self._services.retries.record_admission()
        self._services.running.add(self)
        timers = self._end_in_time()
        try:
            if not self._request.ended:
                await self._perform(self._request.start(self._loop.time()))
            while not self._request.ended:
                await self._run_step()
            await self._perform(self._last_actions)
        except Exception:
            self._free_all()
            raise
        finally:
            for timer in timers:
                timer.cancel()
            self._services.running.discard(self)

    def _end_in_time(self):
        """Return timers that end the request when its time is over."""
        now_s = self._loop.time()
        return [
            self._loop.call_later(
                max(0.0, min(until_s - now_s, MAX_RUN_S)),
                self.interrupt,
                events.TimeEnded(unless_output_started),
            )
            for until_s, unless_output_started in (
                (self._job.deadline_s, False),
                (self._job.first_token_deadline_s, True),
            )
        ]

    def _free_all(self):
        """Free what the request holds after an unexpected error."""
        self.caller_gone()
        for action in self._last_actions:
            if not isinstance(action, actions.Refuse):
                self._perform_now(action)

    def caller_gone(self):
        """Take note that the caller no longer takes the answer."""
        self.interrupt(events.CallerGone())

    def interrupt(self, event):
        """Handle an event that does not come from the current step."""
        if self._request.ended:
            return
        now_s = self._loop.time()
        self._observe(event, now_s)
        found = self._request.handle(event, now_s)
        if self._request.ended:
            self._last_actions = found
            if self._step is not None:
                self._step.cancel()

    async def _run_step(self):
        action, self._next = self._next, None
        self._step = asyncio.create_task(self._take_step(action))
        try:
            await asyncio.wait({self._step})
        finally:
            step, self._step = self._step, None
            step.cancel()
        if not step.cancelled():
            step.result()

    async def _take_step(self, action):
        match action:
            case actions.StartDecode():
                await self._decode(action)
            case actions.AskTokens():
                await self._handle(await self._ask_tokens(action))
            case actions.AskPlace():
                await self._handle(await self._ask_place(action))
            case actions.StartPrefill():
                await self._handle(await self._prefill(action))
            case actions.Inspect():
                await self._handle(await self._inspect(action))
            case actions.ReportCrash():
                await self._handle(await self._report_crash(action))
            case actions.BackOff():
                await asyncio.sleep(action.delay_s)
                await self._handle(events.BackOffEnded())

    async def _handle(self, event):
        now_s = self._loop.time()
        self._observe(event, now_s)
        await self._perform(self._request.handle(event, now_s))

    def _observe(self, event, now_s):
        """Log an event, and learn from it about its servers."""
        self._trace.event(event)
        self._pace.event(event, now_s)
        self._note_failure(event)

    async def _perform(self, found):
        """Carry out actions; those that need no waiting go first."""
        relayed = []
        ends = []
        for action in found:
            match action:
                case actions.BeginAnswer(head=head):
                    await self.sink.begin(head)
                case actions.Relay():
                    relayed.append(action)
                case actions.Complete() | actions.Refuse():
                    ends.append(action)
                case _:
                    self._perform_now(action)
        if relayed:
            await self.sink.relay(relayed)
        for action in ends:
            self._trace.end(action)
            await self.sink.end(action)

    def _perform_now(self, action):
        services = self._services
        match action:
            case actions.CancelAttempt(attempt=attempt, server=server_id):
                server = self._servers_by_id.get(server_id)
                if server is not None:
                    services.cancelling.cancel(server, attempt)
            case actions.ReturnTokens(tokens=tokens):
                services.spawn(
                    services.authorities.give_back(self._charge, tokens)
                )
            case actions.ReleasePlace(place=place):
                services.spawn(
                    services.coordinators.release(
                        place,
                        self._job.model,
                        self._pace.prefill_s,
                        self._pace.token_s,
                        self._pace.verdict,
                    )
                )
            case actions.ClearSuspect(fingerprint=fingerprint):
                command = quarantine.ClearSuspect(fingerprint)
                services.spawn(services.observing.propose(command))
            case actions.DropEvent(kind=kind):
                services.metrics.count_dropped(kind)
            case _:
                self._set_step(action)

    def _set_step(self, action):
        if isinstance(action, actions.BackOff):
            self._services.metrics.count_retry(action.reason)
            self._trace.retry(action)
        self._next = action

    # Questions.

    async def _ask_tokens(self, action):
        asking = self._services.spawn(
            self._services.authorities.ask(
                action.account, action.tokens, action.patience_s
            )
        )
        try:
            return self._tokens_event(await asyncio.shield(asking))
        except asyncio.CancelledError:
            asking.add_done_callback(self._tokens_came_late)
            raise

    def _tokens_event(self, answer):
        match answer:
            case result.Success(charge):
                self._charge = charge
                return events.TokensGranted()
            case result.Failure(refusal):
                return events.StepRefused(refusal)

    def _tokens_came_late(self, asking):
        if asking.cancelled() or asking.exception():
            return
        event = self._tokens_event(asking.result())
        for action in self._request.handle(event, self._loop.time()):
            self._perform_now(action)

    async def _ask_place(self, action):
        job = self._job
        question = place_messages.AskPlace(
            request=action.place,
            owner=job.owner,
            account=job.account or '',
            model=job.model,
            prompt_tokens=job.prompt_tokens,
            output_tokens=job.output_tokens,
            interactive=job.interactive,
            patience_s=action.patience_s,
            excluded=(*action.excluded, *self._avoided()),
            isolation=int(action.isolation),
            prefix=job.prefix,
            expected_tokens=job.expected_tokens,
            accepts_late_answer=job.accepts_late_answer,
            waited_s=self._waited_s(),
        )
        match await self._services.coordinators.ask(question):
            case result.Success(granted):
                self._remember(granted.prefill)
                self._remember(granted.decode)
                return events.PlaceGranted(
                    action.place, granted.prefill, granted.decode
                )
            case result.Failure(refusal):
                return events.StepRefused(refusal)

    def _waited_s(self):
        """Return the seconds that the caller has waited, as far as known."""
        if self._job.waiting_since_s is None:
            return 0.0
        return self._loop.time() - self._job.waiting_since_s

    def _avoided(self):
        servers = self._services.view.state.servers
        candidates = servers.by_served.get(self._job.model, {})
        return self._services.reachability.servers_to_avoid(
            candidates.values(), self._loop.time()
        )

    def _note_failure(self, event):
        match event:
            case events.AttemptFailed(
                reason=(
                    outcomes.Reason.BACKEND_UNREACHABLE
                    | outcomes.Reason.BACKEND_SILENT
                ),
                server=server_id,
            ):
                server = self._servers_by_id.get(server_id)
                if server is not None:
                    now_s = self._loop.time()
                    self._services.reachability.record_failure(server, now_s)

    def _remember(self, server_id):
        """Keep a server's address, as it may leave while it drains."""
        server = self._services.server(server_id)
        if server is not None:
            self._servers_by_id[server_id] = server

    async def _report_crash(self, action):
        server = self._servers_by_id[action.server]
        command = quarantine.ReportCrash(
            action.fingerprint,
            action.server,
            server.incarnation,
            action.isolated,
        )
        log.emit(
            catalogue.SUSPECT_REPORTED,
            fingerprint=action.fingerprint,
            server=action.server,
            isolated=action.isolated,
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPORT_S):
                outcome = await self._services.observing.propose(command)
                if isinstance(outcome, results.Accepted):
                    await self._services.observing.wait_for(outcome.index)
        table = self._services.view.state.quarantine
        suspect = table.by_fingerprint.get(action.fingerprint)
        quarantined = suspect is not None and suspect.quarantined
        return events.CrashReported(quarantined)

    # Orders to engines.

    async def _prefill(self, action):
        server = self._servers_by_id.get(action.server)
        if server is None:
            return _missing(action)
        return await self._services.engines.prefill(server, action, self._job)

    async def _decode(self, action):
        server = self._servers_by_id.get(action.server)
        source = self._servers_by_id.get(action.source)
        if server is None or (action.source and source is None):
            await self._handle(_missing(action))
            return
        stream = self._services.engines.decode(
            server, action, source, self._job
        )
        async with contextlib.aclosing(stream):
            async for batch in stream:
                await self._take_batch(batch)
                if self._next is not None or self._request.ended:
                    return

    async def _take_batch(self, batch):
        now_s = self._loop.time()
        found = []
        for event in batch:
            self._observe(event, now_s)
            for action in self._request.handle(event, now_s):
                found.append(action)
                if isinstance(action, actions.Relay):
                    self._latency.token(now_s)
        await self._perform(found)

    async def _inspect(self, action):
        server = self._servers_by_id[action.server]
        present = self._services.server(action.server)
        if present and present.incarnation != server.incarnation:
            return events.Inspected(action.attempt, True, None)
        return await self._services.engines.inspect(server, action.attempt)


def _missing(action):
    return events.AttemptFailed(
        action.attempt,
        action.server,
        outcomes.Reason.BACKEND_UNREACHABLE,
        'the backend server has left',
        sent=False,
    )
