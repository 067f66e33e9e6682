"""A simulated engine with random crashes, resets, stalls and refusals."""

import asyncio
import dataclasses

from aiohttp import web

from bulrushrudder.standins import engine

POISON = 'poison'


@dataclasses.dataclass(frozen=True, slots=True)
class FaultProbabilities:
    """The probability of each fault per order, from 0 to 1.

    :param crash: the engine loses all attempts and connections.
    :param reset: the connection of the order is reset.
    :param silence: a decode sends nothing until it is cancelled.
    :param full: the order is refused, as by a full engine.
    """

    crash: float = 0.0
    reset: float = 0.0
    silence: float = 0.0
    full: float = 0.0


NO_FAULTS = FaultProbabilities()


class FaultyEngine(engine.Engine):
    """An engine that injects faults drawn from a seeded source.

    A decode whose prompt contains the word in POISON crashes it.

    :param randomness: a seeded random.Random.
    :param fault_probabilities: the probability of each fault.
    :param on_crash: called after a crash, without arguments.
    :param engine_options: further arguments of Engine.
    """

    def __init__(
        self,
        randomness,
        fault_probabilities=NO_FAULTS,
        on_crash=None,
        **engine_options,
    ):
        super().__init__(**engine_options)
        self.fault_probabilities = fault_probabilities
        self.crashes = 0
        self._random = randomness
        self._on_crash = on_crash
        self._transports = set()

    def application(self):
        """Return an aiohttp application that injects faults."""
        app = super().application()
        app.middlewares.append(self._track_connection)
        return app

    def crash(self):
        """Drop all attempts and abort every connection."""
        self.crashes += 1
        for held in self.held_by_attempt.values():
            held.stopped.set()
        self.held_by_attempt.clear()
        self._known_attempts.clear()
        for transport in tuple(self._transports):
            transport.abort()
        if self._on_crash is not None:
            self._on_crash()

    @web.middleware
    async def _track_connection(self, request, handler):
        transport = request.transport
        if transport is None:
            raise web.HTTPServiceUnavailable
        self._transports.add(transport)
        try:
            if request.path in ('/prefill', '/decode'):
                self._schedule_fault(transport)
            return await handler(request)
        finally:
            self._transports.discard(transport)

    def _schedule_fault(self, transport):
        """Draw a fault for an order and schedule it during the order."""
        loop = asyncio.get_running_loop()
        draw = self._random.random()
        delay_s = self._random.random() * 10 * self._token_s
        fault_probabilities = self.fault_probabilities
        if draw < fault_probabilities.crash:
            loop.call_later(delay_s, self.crash)
        elif draw < fault_probabilities.crash + fault_probabilities.reset:
            loop.call_later(delay_s, transport.abort)

    def _accept(self, order):
        if self._random.random() < self.fault_probabilities.full:
            raise web.HTTPServiceUnavailable
        return super()._accept(order)

    async def _stream(self, response, order, held):
        if POISON in order['prompt']:
            await asyncio.sleep(self._token_s)
            if not held.stopped.is_set():
                self.crash()
            return
        if self._random.random() < self.fault_probabilities.silence:
            await held.stopped.wait()
            return
        await super()._stream(response, order, held)
