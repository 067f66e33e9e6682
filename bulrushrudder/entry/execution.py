"""Runs one request to a model.

The lifecycle of the request decides on actions; this module performs them
and reports the results back as events.
"""

import asyncio
import contextlib
import dataclasses

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.entry import access
from bulrushrudder.entry import crash_evidence
from bulrushrudder.entry import server_availability
from bulrushrudder.entry import server_feedback
from bulrushrudder.entry import tracing
from bulrushrudder.entry import view_contact
from bulrushrudder.entry import zone_traffic
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events
from bulrushrudder.lifecycle import request as lifecycle
from bulrushrudder.protocol import place_messages
from bulrushrudder.state import quarantine

# Upper bound on the run time of a request, whatever its deadline.
MAX_RUN_S = 900.0


class RequestExecution:
    """One request to a model, from admission to its end.

    One step runs at a time: a call to an authority or a coordinator, a
    delay, or a call to an engine. Its events are handled in the task that
    produces them, without a queue in between, so that backpressure from a
    slow caller reaches the engine.

    :param job: the lifecycle Job.
    :param admitted: the AdmittedCall.
    :param services: the SharedServices of this process.
    :param request_id: id of the request in logs.
    :ivar sink: object with coroutines relay and end, and begin where
        answers have a head; must be set before the request runs.
    """

    def __init__(self, job, admitted, services, request_id):
        self.admitted = admitted
        self.sink = None
        self._job = job
        self._services = services
        self._request = lifecycle.Request(job, services.retries)
        self._servers_by_id = {}
        self._next_action = None
        self._software = ''
        self._step_task = None
        self._final_actions = []
        self._charge = None
        self._availability = server_availability.ServerAvailability(
            services, job.model
        )
        self._crashes = crash_evidence.CrashEvidence(job, services)
        self._traffic = zone_traffic.RequestTraffic(job, services)
        self._loop = asyncio.get_running_loop()
        self._feedback = server_feedback.ServerFeedback(
            job.event_tokens, self._doubts
        )
        self._trace = tracing.Trace(
            request_id,
            services.view,
            self._loop,
            self._waited_s(),
            job.parts,
        )
        self._latency = services.metrics.latency_recorder(
            admitted.route.id, job.account, self._loop.time()
        )

    async def run(self):
        """Run the request until it has ended."""
        self._services.retries.record_admission(
            self._loop.time(), self._job.model
        )
        self._services.running.add(self)
        timers = self._start_timers()
        try:
            if not self._request.ended:
                await self._perform(self._request.start(self._loop.time()))
            while not self._request.ended:
                await self._run_step()
            await self._perform(self._final_actions)
        except Exception:
            self._release_all()
            raise
        finally:
            for timer in timers:
                timer.cancel()
            self._services.running.discard(self)

    def _start_timers(self):
        """Start the timers that end the request at its time limits.

        :returns: the timer handles, which run() cancels.
        """
        now_s = self._loop.time()
        return [
            self._loop.call_later(
                max(0.0, min(end_s - now_s, MAX_RUN_S)),
                self.interrupt,
                events.TimeEnded(unless_output_started),
            )
            for end_s, unless_output_started in (
                (self._job.deadline_s, False),
                (self._job.first_token_deadline_s, True),
            )
        ]

    def _release_all(self):
        """Release tokens, places and attempts after an unexpected error."""
        self.caller_gone()
        for action in self._final_actions:
            if not isinstance(action, actions.Refuse):
                self._perform_nowait(action)

    def end_for_shutdown(self):
        """End the request because the process must exit."""
        reason = outcomes.Reason.SHUTTING_DOWN
        self.interrupt(events.TimeEnded(reason=reason))

    def caller_gone(self):
        """End the request because its caller has disconnected or stalled."""
        self.interrupt(events.CallerGone())

    def interrupt(self, event):
        """Handle an event from outside the current step.

        If the event ends the request, the current step is cancelled.
        """
        if self._request.ended:
            return
        now_s = self._loop.time()
        self._observe(event, now_s)
        next_actions = self._request.handle(event, now_s)
        if self._request.ended:
            self._final_actions = next_actions
            if self._step_task is not None:
                self._step_task.cancel()

    async def _run_step(self):
        action, self._next_action = self._next_action, None
        self._step_task = asyncio.create_task(self._perform_step(action))
        try:
            await asyncio.wait({self._step_task})
        finally:
            step, self._step_task = self._step_task, None
            step.cancel()
        if not step.cancelled():
            step.result()

    async def _perform_step(self, action):
        match action:
            case actions.StartDecode():
                await self._decode(action)
            case actions.RequestTokens():
                await self._handle(await self._ask_tokens(action))
            case actions.RequestPlace():
                await self._handle(await self._ask_place(action))
            case actions.StartPrefill():
                await self._handle(await self._prefill(action))
            case actions.Inspect():
                await self._handle(await self._inspect(action))
            case actions.ReportCrash(server=server_id):
                quarantined = await self._crashes.report_isolated(
                    action, self._servers_by_id[server_id]
                )
                await self._handle(events.CrashReported(quarantined))
            case actions.ReportEarlyCrash(server=server_id):
                await self._crashes.report_early_crash(
                    self._servers_by_id[server_id]
                )
                await self._handle(
                    events.CrashReported(self._crashes.is_quarantined())
                )
            case actions.BackOff():
                await asyncio.sleep(action.delay_s)
                await self._handle(events.BackOffEnded())

    async def _handle(self, event):
        now_s = self._loop.time()
        event = self._mark_evacuated(event)
        view = self._services.view
        lost = access.loss_before(event, view, now_s, self.admitted)
        next_actions = []
        for handled in (*lost, event):
            self._observe(handled, now_s)
            next_actions += self._request.handle(handled, now_s)
        await self._perform(next_actions)

    def _mark_evacuated(self, event):
        """Mark a failure to send to a server whose zone is evacuated."""
        match event:
            case events.AttemptFailed(
                reason=outcomes.Reason.BACKEND_UNREACHABLE,
                server=server_id,
                sent=False,
            ) if self._availability.is_evacuated(
                self._servers_by_id.get(server_id)
            ):
                return dataclasses.replace(event, evacuated=True)
        return event

    def _observe(self, event, now_s):
        """Log an event and record what it says about the servers."""
        self._trace.event(event)
        self._feedback.event(event, now_s)
        self._record_failure(event)
        self._record_stream(event)

    def _record_stream(self, event):
        """Record at which software version a new stream begins."""
        match event:
            case events.PlaceGranted(software=software):
                self._software = software
            case events.TokenArrived(index=0) if self._job.stream:
                self._services.stream_recorder.begin(
                    self._job.stream, self._job.model, self._software
                )

    async def _perform(self, next_actions):
        """Perform actions in order, with two exceptions.

        Tokens are relayed in one batch after the other actions; Complete
        and Refuse come last.
        """
        relay_actions = []
        final = []
        for action in next_actions:
            match action:
                case actions.BeginAnswer(head=head):
                    await self.sink.begin(head)
                case actions.Relay():
                    relay_actions.append(action)
                case actions.Complete() | actions.Refuse():
                    final.append(action)
                case _:
                    self._perform_nowait(action)
        if relay_actions:
            await self.sink.relay(relay_actions)
        for action in final:
            self._trace.end(action)
            await self.sink.end(action)

    def _perform_nowait(self, action):
        services = self._services
        match action:
            case actions.CancelAttempt(attempt=attempt, server=server_id):
                server = self._servers_by_id.get(server_id)
                if server is not None:
                    services.canceller.cancel(server, attempt)
            case actions.RefundTokens(tokens=tokens):
                services.spawn(
                    services.authority_client.refund(self._charge, tokens)
                )
            case actions.ReleasePlace(place=place):
                services.spawn(
                    services.coordinator_client.release(
                        place,
                        self._job.model,
                        self._feedback.prefill_s,
                        self._feedback.token_s,
                        self._feedback.verdict,
                        self._feedback.prefill_failed,
                    )
                )
            case actions.ClearSuspect(fingerprint=fingerprint):
                command = quarantine.ClearSuspect(fingerprint)
                services.spawn(services.control_client.propose(command))
            case actions.ClearParts():
                self._crashes.clear_parts()
            case actions.DropEvent(kind=kind):
                services.metrics.count_dropped_event(kind)
            case _:
                self._schedule_step(action)

    def _schedule_step(self, action):
        if isinstance(action, actions.BackOff):
            self._services.metrics.count_retry(action.reason)
        self._trace.step(action)
        self._next_action = action

    # Calls to authorities and coordinators.

    async def _ask_tokens(self, action):
        ask_task = self._services.spawn(
            self._services.authority_client.request_tokens(
                action.account, action.tokens, action.patience_s
            )
        )
        try:
            return self._tokens_event(await asyncio.shield(ask_task))
        except asyncio.CancelledError:
            ask_task.add_done_callback(self._handle_late_tokens)
            raise

    def _tokens_event(self, answer):
        match answer:
            case result.Success(charge):
                self._charge = charge
                return events.TokensGranted()
            case result.Failure(refusal):
                return events.StepRefused(refusal)

    def _handle_late_tokens(self, ask_task):
        """Handle an answer that arrives after its step was cancelled."""
        if ask_task.cancelled() or ask_task.exception():
            return
        event = self._tokens_event(ask_task.result())
        for action in self._request.handle(event, self._loop.time()):
            self._perform_nowait(action)

    async def _ask_place(self, action):
        job = self._job
        refusal = self._availability.refusal()
        if refusal is not None:
            return events.StepRefused(refusal)
        message = place_messages.PlaceRequest(
            request=action.place,
            owner=job.owner,
            account=job.account or '',
            model=job.model,
            prompt_tokens=job.prompt_tokens,
            output_tokens=job.output_tokens,
            interactive=job.interactive,
            patience_s=action.patience_s,
            excluded=(*action.excluded, *self._availability.avoided()),
            isolation=int(action.isolation),
            prefix=job.prefix,
            expected_tokens=job.expected_tokens,
            accepts_late_answer=job.accepts_late_answer,
            waited_s=self._waited_s(),
            software=action.software,
            rank=job.rank,
            target_s=job.target_s,
        )
        match await self._services.coordinator_client.request_place(message):
            case result.Success(granted):
                self._remember_server(granted.prefill)
                self._remember_server(granted.decode)
                decode = self._servers_by_id.get(granted.decode)
                return events.PlaceGranted(
                    action.place,
                    granted.prefill,
                    granted.decode,
                    decode.software if decode else '',
                )
            case result.Failure(refusal):
                return events.StepRefused(refusal)

    def _waited_s(self):
        """Return the seconds that the caller has waited, 0 if unknown."""
        if self._job.waiting_since_s is None:
            return 0.0
        return self._loop.time() - self._job.waiting_since_s

    def _record_failure(self, event):
        match event:
            case events.AttemptFailed(
                reason=(
                    outcomes.Reason.BACKEND_UNREACHABLE
                    | outcomes.Reason.BACKEND_SILENT
                ),
                server=server_id,
                of_server=of_server,
                evacuated=False,
            ):
                server = self._servers_by_id.get(server_id)
                if server is not None and (
                    of_server or not self._doubts(server_id)
                ):
                    now_s = self._loop.time()
                    self._services.reachability.record_failure(server, now_s)

    def _doubts(self, server_id):
        """Return whether a lost path can explain a failure."""
        server = self._servers_by_id.get(server_id)
        return server is not None and self._services.doubts(server)

    def _remember_server(self, server_id):
        """Keep a server's address.

        A draining server leaves the view while attempts on it still run.
        """
        server = self._services.server(server_id)
        if server is not None:
            self._servers_by_id[server_id] = server

    # Calls to engines.

    async def _prefill(self, action):
        await view_contact.settle(self._services.view)
        server = self._servers_by_id.get(action.server)
        if not self._availability.takes_work(server):
            return _server_left(action)
        if not action.produced and self._crashes.is_quarantined():
            return events.Quarantined()
        self._crashes.record_sent()
        self._traffic.prefill(server)
        return await self._services.engines.prefill(server, action, self._job)

    async def _decode(self, action):
        await view_contact.settle(self._services.view)
        server = self._servers_by_id.get(action.server)
        source = self._servers_by_id.get(action.source)
        if not self._availability.takes_work(server) or (
            action.source and source is None
        ):
            await self._handle(_server_left(action))
            return
        if not action.produced and self._crashes.is_quarantined():
            await self._handle(events.Quarantined())
            return
        self._crashes.record_sent()
        self._traffic.decode(server, source)
        stream = self._services.engines.decode(
            server, action, source, self._job
        )
        async with contextlib.aclosing(stream):
            async for batch in stream:
                await self._handle_batch(batch)
                if self._next_action is not None or self._request.ended:
                    return

    async def _handle_batch(self, batch):
        now_s = self._loop.time()
        self._traffic.answer(batch)
        next_actions = []
        for event in map(self._mark_evacuated, batch):
            self._observe(event, now_s)
            for action in self._request.handle(event, now_s):
                next_actions.append(action)
                if isinstance(action, actions.Relay):
                    self._latency.record_token(now_s)
        await self._perform(next_actions)

    async def _inspect(self, action):
        server = self._servers_by_id[action.server]
        current = self._services.server(action.server)
        if current and current.incarnation != server.incarnation:
            return events.Inspected(action.attempt, True, None)
        inspected = await self._services.engines.inspect(
            server, action.attempt
        )
        if inspected.crashed:
            self._services.reachability.record_failure(
                server, self._loop.time()
            )
        return inspected


def _server_left(action):
    return events.AttemptFailed(
        action.attempt,
        action.server,
        outcomes.Reason.BACKEND_UNREACHABLE,
        'the backend server has left or takes no work; nothing was sent',
        sent=False,
    )
