"""Planned stops of the machines that clients reach."""

import asyncio
import dataclasses
import json
import signal

from bulrushrudder.tests.soak import http

READY_PATH = '/bulrushrudder/readyz'
READY_TIMEOUT_S = 15.0
PROBE_S = 0.1
LEADERSHIP_GAINED = 2003


@dataclasses.dataclass(frozen=True, slots=True)
class Again:
    """Sends another signal after a SIGTERM.

    :param after_s: seconds after the SIGTERM.
    """

    number: signal.Signals
    after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class InTurn:
    """Stops and starts one machine after the other."""


@dataclasses.dataclass(frozen=True, slots=True)
class Overlapping:
    """Stops all machines, each before the one before it has ended."""

    gap_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Twice:
    """Sends SIGTERM twice."""

    gap_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HangingUp:
    """Sends SIGHUP shortly before a stop and within it."""

    before_s: float
    after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WithLeader:
    """Stops the leader of the core beside a machine."""

    after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AtStart:
    """Stops a machine while it starts."""

    after_s: float


Kind = InTurn | Overlapping | Twice | HangingUp | WithLeader | AtStart


def draw(rng):
    """Return one of each Kind in a random order."""
    kinds = [
        InTurn(),
        Overlapping(rng.uniform(0.2, 3.0)),
        Twice(rng.uniform(0.05, 4.0)),
        HangingUp(rng.uniform(0.02, 1.0), rng.uniform(0.1, 4.0)),
        WithLeader(rng.uniform(0.0, 3.0)),
        AtStart(rng.uniform(0.02, 1.5)),
    ]
    rng.shuffle(kinds)
    return kinds


@dataclasses.dataclass
class Stop:
    """A planned stop of a process.

    :ivar ended_s: when the process had ended.
    :ivar exit_code: negative for a signal.
    :ivar was_ready: whether the process had been ready.
    """

    process: str
    began_s: float
    was_ready: bool
    ended_s: float | None = None
    exit_code: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A question whether a process is ready; status 0 is no answer."""

    process: str
    sent_s: float
    status: int


class Stops:
    """Stops and starts machines as planned.

    :param fleet: the Fleet.
    :param rng: random.Random.
    :ivar stops: the Stops of machines that clients reach.
    :ivar core_stops: the Stops of machines of the core.
    :ivar hangups: processes that got SIGHUP, and seconds.
    :ivar probes: the Probes.
    :ivar times_s: seconds at which machines were disrupted.
    """

    def __init__(self, fleet, rng):
        self.stops = []
        self.core_stops = []
        self.hangups = []
        self.probes = []
        self.times_s = []
        self._fleet = fleet
        self._record = fleet.record
        self._rng = rng
        self._ready = set()

    async def run(self, for_s):
        """Play one kind after the other until the time has passed."""
        until_s = self._record.now_s() + for_s
        while True:
            for kind in draw(self._rng):
                await asyncio.sleep(self._rng.uniform(0.5, 2.0))
                if self._record.now_s() > until_s:
                    return
                self._record.write(f'stops: {kind}')
                await self._play(kind)

    async def probe(self):
        """Ask all machines whether they are ready, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for machine in self._fleet.edges:
                group.create_task(self._probe(machine))

    async def _probe(self, machine):
        while True:
            process, sent_s = machine.process, self._record.now_s()
            answer = await http.call(
                machine.address('ready'), 'GET', READY_PATH
            )
            self.probes.append(Probe(process, sent_s, answer.status))
            if answer.status == 200 and process not in self._ready:
                self._ready.add(process)
                self._record.write(f'{process}: ready')
            await asyncio.sleep(PROBE_S)

    async def _play(self, kind):
        edges = self._rng.sample(self._fleet.edges, len(self._fleet.edges))
        first = edges[0]
        match kind:
            case InTurn():
                for machine in edges:
                    await self._replace(machine)
            case Overlapping(gap_s=gap_s):
                async with asyncio.TaskGroup() as group:
                    for number, machine in enumerate(edges):
                        group.create_task(
                            self._replace(machine, number * gap_s)
                        )
            case Twice(gap_s=gap_s):
                await self._replace(first, 0.0, Again(signal.SIGTERM, gap_s))
            case HangingUp(before_s=before_s, after_s=after_s):
                self._hang_up(first)
                again = Again(signal.SIGHUP, after_s)
                await self._replace(first, before_s, again)
            case WithLeader(after_s=after_s):
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._replace(first))
                    group.create_task(self._replace_leader(after_s))
            case AtStart(after_s=after_s):
                await self._stop(first)
                first.start()
                await asyncio.sleep(after_s)
                await self._replace(first)

    async def _replace(self, machine, after_s=0.0, *signals):
        """Stop a machine and start it until it is ready."""
        await asyncio.sleep(after_s)
        await self._stop(machine, *signals)
        await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        self._note()
        machine.start()
        await self._wait_until_ready(machine)

    async def _stop(self, machine, *signals):
        stop = Stop(
            machine.process,
            self._record.now_s(),
            machine.process in self._ready,
        )
        self.stops.append(stop)
        await self._end(machine, stop, *signals)

    async def _end(self, machine, stop, *signals):
        self._note()
        machine.signal(signal.SIGTERM)
        async with asyncio.TaskGroup() as group:
            more = [
                group.create_task(self._signal_again(machine, again))
                for again in signals
            ]
            await machine.wait()
            stop.ended_s = self._record.now_s()
            stop.exit_code = machine.exit_code
            for task in more:
                task.cancel()
        self._record.write(
            f'{stop.process}: ended {stop.ended_s - stop.began_s:.3f} s '
            f'after SIGTERM, exit code {stop.exit_code}'
        )

    async def _signal_again(self, machine, again):
        await asyncio.sleep(again.after_s)
        if again.number is signal.SIGHUP:
            self._hang_up(machine)
        else:
            machine.signal(again.number)

    def _hang_up(self, machine):
        self._note()
        self.hangups.append((machine.process, self._record.now_s()))
        machine.signal(signal.SIGHUP)

    async def _replace_leader(self, after_s):
        await asyncio.sleep(after_s)
        machine = max(self._fleet.controls, key=last_term)
        stop = Stop(machine.process, self._record.now_s(), True)
        self.core_stops.append(stop)
        await self._end(machine, stop)
        await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        self._note()
        machine.start()

    async def _wait_until_ready(self, machine):
        until_s = self._record.now_s() + READY_TIMEOUT_S
        while machine.process not in self._ready:
            if self._record.now_s() > until_s:
                self._record.add_break(
                    'FAULT',
                    f'{machine.process} was not ready in {READY_TIMEOUT_S} s',
                )
                return
            await asyncio.sleep(PROBE_S)

    def _note(self):
        self.times_s.append(self._record.now_s())


def last_term(machine):
    """Return the last term in which a machine became the leader."""
    term = 0
    with open(machine.log, encoding='utf-8', errors='replace') as log:
        for line in log:
            if f'"event": {LEADERSHIP_GAINED},' in line:
                term = json.loads(line)['term']
    return term
