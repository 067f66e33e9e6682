"""Series of disruptions, drawn from a seed."""

import asyncio
import signal

from bulrushrudder.tests.soak import faults

SERVER_FAULTS = (
    faults.Sheds(),
    faults.CopiesLate(),
    faults.LosesAnswers(),
    faults.CutsAnswers(),
    faults.Garbles(),
    faults.AddsBytes(),
    faults.Fails(500),
    faults.Fails(503),
    faults.Fails(429),
    faults.Stalls(2.0),
)


class Disruptions:
    """Disrupts machines and servers until cancelled.

    :param fleet: the Fleet.
    :param pool: the Servers.
    :param rng: random.Random.
    :ivar times_s: seconds at which machines were disrupted.
    """

    def __init__(self, fleet, pool, rng):
        self.times_s = []
        self._fleet = fleet
        self._pool = pool
        self._rng = rng

    async def run(self):
        """Run several series at once, so that they overlap."""
        async with asyncio.TaskGroup() as group:
            for series in (
                self._disrupt_servers,
                self._disrupt_servers,
                self._restart_servers,
                self._disrupt_edges,
                self._disrupt_controls,
            ):
                group.create_task(self._repeat(series))

    async def _repeat(self, series):
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 4.0))
            await series()

    async def _disrupt_servers(self):
        """Let a server misbehave for a while, in one way or another."""
        server = self._rng.choice(self._pool)
        server.fault = self._rng.choice(SERVER_FAULTS)
        server.fault_share = self._rng.choice((0.05, 0.3, 0.6))
        self._fleet.record.write(f'{server.id}: {server.fault}')
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        server.fault = None

    async def _restart_servers(self):
        server = self._rng.choice(self._pool)
        if self._rng.random() < 0.5:
            server.crash()
        else:
            late_s = self._rng.choice((None, 0.3, 2.2))
            await server.leave(self._rng.random() < 0.5, late_s)
        await asyncio.sleep(self._rng.uniform(0.1, 3.0))
        await server.start(keeps_id=self._rng.random() < 0.5)

    async def _disrupt_edges(self):
        await self._disrupt(self._rng.choice(self._fleet.edges))

    async def _disrupt_controls(self):
        await self._disrupt(self._rng.choice(self._fleet.controls))

    async def _disrupt(self, machine):
        number = self._rng.choice(
            (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP)
        )
        self._note()
        machine.signal(number)
        if number is signal.SIGSTOP:
            await asyncio.sleep(self._rng.uniform(0.2, 4.0))
            machine.signal(signal.SIGCONT)
        elif number is not signal.SIGHUP:
            await machine.wait()
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
            machine.start()
        self._note()

    def _note(self):
        self.times_s.append(self._fleet.record.now_s())
