"""Series of disruptions, drawn from a seed."""

import asyncio
import signal

from bulrushrudder.tests.soak import faults

# A machine is in touch from this time after its last disruption on.
CONTACT_S = 3.0
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


def is_calm(times_s, began_s, ended_s):
    """Return whether no disruption touches a span of time.

    :param times_s: seconds at which machines were disrupted.
    """
    return not any(began_s - CONTACT_S < at_s < ended_s for at_s in times_s)


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
        # Rules that hold for machines in touch only need calm ones.
        self._disrupts_machines = rng.random() < 0.5

    async def run(self):
        """Run several series at once, so that they overlap."""
        if self._disrupts_machines:
            await self._run(self._disrupt_edges, self._disrupt_controls)
        else:
            await self._run()

    async def run_servers(self):
        """Disrupt servers only."""
        await self._run()

    async def _run(self, *more):
        series = [
            self._disrupt_servers,
            self._disrupt_servers,
            self._restart_servers,
            *more,
        ]
        async with asyncio.TaskGroup() as group:
            for disrupt in series:
                group.create_task(self._repeat(disrupt))

    def is_calm(self, began_s, ended_s):
        """Return whether all machines were in touch for some time.

        :param began_s: seconds since the soak began.
        """
        return is_calm(self.times_s, began_s, ended_s)

    async def _repeat(self, disrupt):
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 4.0))
            await disrupt()

    async def _disrupt_servers(self):
        """Let a server misbehave for a while, in one way or another."""
        server = self._rng.choice(self._pool)
        fault = self._rng.choice(SERVER_FAULTS)
        server.misbehave(fault, self._rng.choice((0.05, 0.3, 0.6)))
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        server.misbehave(None)

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
