"""Carries out what the lifecycle of a request decides."""

import asyncio

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.engines import wire
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events
from bulrushrudder.lifecycle import request as lifecycle
from bulrushrudder.protocol import place_messages
from bulrushrudder.utils import tasks

MAX_WAITING_EVENTS = 64


class Execution:
    """One request to a model, from admission to its end.

    :param job: the lifecycle Job.
    :param services: a Services with what executions share.
    :param sink: takes Relay, Complete and Refuse actions.
    """

    def __init__(self, job, services, sink):
        self._job = job
        self._services = services
        self._sink = sink
        self._request = lifecycle.Request(job)
        self._events = asyncio.Queue(MAX_WAITING_EVENTS)
        self._gone = asyncio.Event()
        self._steps = set()

    async def run(self):
        """Run the request to its end."""
        try:
            await self._perform(self._request.start())
            while not self._request.ended:
                event = await self._next_event()
                await self._perform(self._request.handle(event))
        finally:
            for step in tuple(self._steps):
                step.cancel()

    def caller_gone(self):
        """Take note that nobody waits for the answer."""
        self._gone.set()

    async def _next_event(self):
        if not self._events.empty() and not self._gone.is_set():
            return self._events.get_nowait()
        get = asyncio.create_task(self._events.get())
        gone = asyncio.create_task(self._gone.wait())
        try:
            await asyncio.wait(
                {get, gone}, return_when=asyncio.FIRST_COMPLETED
            )
            if gone.done():
                return events.CallerGone()
            return get.result()
        finally:
            get.cancel()
            gone.cancel()

    async def _perform(self, found):
        for action in found:
            await self._perform_one(action)

    async def _perform_one(self, action):
        match action:
            case actions.Relay() | actions.Complete() | actions.Refuse():
                await self._sink.put(action)
            case actions.AskTokens():
                self._start(self._ask_tokens(action))
            case actions.AskPlace():
                self._start(self._ask_place(action))
            case actions.StartPrefill():
                self._start(self._prefill(action))
            case actions.StartDecode():
                self._start(self._decode(action))
            case actions.CancelAttempt():
                self._services.spawn(self._cancel(action))
            case actions.ReturnTokens(account=account, tokens=tokens):
                self._services.spawn(
                    self._services.authorities.give_back(account, tokens)
                )
            case actions.ReleasePlace():
                job = self._job
                self._services.spawn(
                    self._services.coordinators.release(
                        job.request, job.owner, job.model
                    )
                )

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._steps.add(task)
        task.add_done_callback(self._steps.discard)
        task.add_done_callback(self._check)

    def _check(self, task):
        tasks.report(task)
        if not task.cancelled() and task.exception():
            self._gone.set()

    async def _ask_tokens(self, action):
        answer = await self._services.authorities.ask(
            action.account, action.tokens, action.patience_s
        )
        match answer:
            case result.Success(_):
                await self._events.put(events.TokensGranted())
            case result.Failure(refusal):
                await self._events.put(events.StepRefused(refusal))

    async def _ask_place(self, action):
        job = self._job
        question = place_messages.AskPlace(
            request=job.request,
            owner=job.owner,
            account=job.account or '',
            model=job.model,
            prompt_tokens=job.prompt_tokens,
            output_tokens=job.output_tokens,
            interactive=job.interactive,
            patience_s=action.patience_s,
        )
        match await self._services.coordinators.ask(question):
            case result.Success(granted):
                await self._events.put(
                    events.PlaceGranted(granted.prefill, granted.decode)
                )
            case result.Failure(refusal):
                await self._events.put(events.StepRefused(refusal))

    async def _prefill(self, action):
        server = self._services.server(action.server)
        if server is None:
            await self._missing(action)
            return
        order = wire.PrefillOrder(
            attempt=str(action.attempt),
            model=self._job.model,
            prompt=self._job.prompt,
            priority=int(self._job.interactive),
        )
        event = await self._services.engines.prefill(
            server, action.attempt, order
        )
        await self._events.put(event)

    async def _decode(self, action):
        server = self._services.server(action.server)
        prefill = self._services.server(action.prefill)
        if server is None or prefill is None:
            await self._missing(action)
            return
        order = wire.DecodeOrder(
            attempt=str(action.attempt),
            model=self._job.model,
            prompt=self._job.prompt,
            kv_host=prefill.host,
            kv_port=prefill.port,
            kv_handle=action.handle,
            produced=list(action.produced),
            max_tokens=self._job.output_tokens,
            priority=int(self._job.interactive),
        )
        stream = self._services.engines.decode(server, action.attempt, order)
        async for event in stream:
            await self._events.put(event)

    async def _missing(self, action):
        event = events.AttemptFailed(
            action.attempt,
            action.server,
            outcomes.Reason.BACKEND_FAILED,
            'the backend server has left',
        )
        await self._events.put(event)

    async def _cancel(self, action):
        server = self._services.server(action.server)
        if server is not None:
            await self._services.engines.cancel(server, action.attempt)
