"""Plays one seed of the soak and judges it."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import tempfile

from bulrushrudder.tests.soak import clients
from bulrushrudder.tests.soak import core_judges
from bulrushrudder.tests.soak import core_plays
from bulrushrudder.tests.soak import cuts
from bulrushrudder.tests.soak import disruptions
from bulrushrudder.tests.soak import gates
from bulrushrudder.tests.soak import going_on
from bulrushrudder.tests.soak import hold_ups
from bulrushrudder.tests.soak import http
from bulrushrudder.tests.soak import misbehaving
from bulrushrudder.tests.soak import operators
from bulrushrudder.tests.soak import programs
from bulrushrudder.tests.soak import record
from bulrushrudder.tests.soak import replacements
from bulrushrudder.tests.soak import servers
from bulrushrudder.tests.soak import stop_judges
from bulrushrudder.tests.soak import stops
from bulrushrudder.tests.soak import works

CLIENTS = 12
STOPS_CLIENTS = 32
REPLACEMENTS_CLIENTS = 2
# Three times the target is the longest time for an attempt.
STOPS_PLAIN_MS = (6000, 2000)
READY_TIMEOUT_S = 30.0
# Name, service, stage and slots of the servers.
POOL = (
    ('pl-a', 'plain'),
    ('pl-b', 'plain'),
    ('pl-c', 'plain'),
    ('ot-a', 'other'),
    ('ot-b', 'other'),
    ('pr-a', 'engines', 'prefill', 64),
    ('de-a', 'engines', 'decode', 64),
    ('de-b', 'engines', 'decode', 64),
)
# Slow calls need more places if none is to wait for one.
STOPS_POOL = tuple(
    (*terms[:2], *(terms[2:3] or (None,)), 64) for terms in POOL
)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a seed plays.

    :param seconds: how long the disruptions last.
    :param root: the checkout whose programs run.
    :param disrupts: whether there are disruptions at all.
    :param kills_at_start: whether a control process is killed while the
        whole system starts for the first time.
    :param stops: whether planned stops are all that is played, at clients
        that go on and servers that take their time.
    :param server_faults: whether servers misbehave beside planned stops.
    :param cuts: whether entries are cut off from all servers, and nothing
        else is played.
    :param replacements: whether machines of the core are replaced one after
        the other until everything goes dark; takes as long as that takes.
    :param misbehaves: whether some clients keep to no limit, before
        machines with little memory.
    """

    seed: int
    seconds: float = 20.0
    root: pathlib.Path = programs.ROOT
    disrupts: bool = True
    kills_at_start: bool = False
    stops: bool = False
    server_faults: bool = False
    replacements: bool = False
    cuts: bool = False
    misbehaves: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What a seed has shown.

    :param served: share of the attempts that were answered with 200, of
        all that were not refused by a process that stops.
    :param stops: planned stops of machines that clients reach.
    :param lag_s: the longest time that the soak itself was held up.
    :param core: what was seen of the core; None if nothing was replaced.
    :param cuts: for each cut its kind and the shares of first tries that
        were served, at machines cut off and at the others.
    """

    plan: Plan
    breaks: tuple[record.Break, ...]
    served: float
    stops: int = 0
    lag_s: float = 0.0
    core: core_judges.Seen | None = None
    cuts: list = dataclasses.field(default_factory=list)


def play(plan, folder=None):
    """Play a seed and return its Verdict.

    :param folder: where records and logs are kept; a temporary folder if
        it is None.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
        folder = pathlib.Path(folder)
        folder.mkdir(parents=True, exist_ok=True)
        seen = record.Record(
            stack.enter_context(open(folder / 'record.txt', 'w'))
        )
        rng = random.Random(plan.seed)
        controls = replacements.CONTROLS if plan.replacements else 3
        edges = 3 if plan.cuts else 2
        fleet = programs.Fleet(folder, seen, rng, plan.root, controls, edges)
        fleet.cuts_paths = plan.cuts
        if plan.misbehaves:
            fleet.limits = {
                'memory_mb': misbehaving.MEMORY_MB,
                'max_fds': '',
            }
        stack.callback(fleet.end)
        return asyncio.run(_Soak(plan, fleet, rng).run())


class _Soak:
    def __init__(self, plan, fleet, rng):
        self._plan = plan
        self._fleet = fleet
        self._record = fleet.record
        self._rng = rng
        self._hold_ups = hold_ups.HoldUps(fleet)
        self._operator = operators.Operator(
            fleet,
            self._fork(),
            STOPS_PLAIN_MS if plan.stops else operators.PLAIN_MS,
        )
        draw = works.varied if plan.stops else works.quick
        self._cuts = cuts.Cuts(fleet, random.Random(f'cuts {plan.seed}'))
        self._pool = [
            servers.Server(
                fleet, self._fork(), *terms, draw=draw, gate=self._gate()
            )
            for terms in (STOPS_POOL if plan.stops else POOL)
        ]
        self._disruptions = disruptions.Disruptions(
            fleet, self._pool, self._fork()
        )
        self._stops = stops.Stops(fleet, self._fork())
        # A draw of its own, so that seeds of the other modes stay the same.
        self._core_play = core_plays.CorePlay(
            fleet, self._operator, random.Random(f'core {plan.seed}')
        )

    def _gate(self):
        if not self._plan.cuts:
            return None
        return gates.Gate(self._fleet, self._cuts)

    def _fork(self):
        """Return a random.Random that no other part draws from."""
        return random.Random(self._rng.getrandbits(64))

    async def run(self):
        """Play the seed and return its Verdict."""
        async with contextlib.AsyncExitStack() as stack:
            for machine in self._fleet.machines:
                machine.start(bootstrap=True)
            self._spawn(stack, self._fleet.watch())
            if self._plan.kills_at_start:
                await self._kill_at_start()
            if await self._operator.send_first():
                await self._play(stack)
        core = self._core_play.end() if self._plan.replacements else None
        breaks = [
            *self._record.judge(),
            *self._judge_core(core),
            *cuts.judge(self._record.sent, self._cuts.ended),
            *self._judge_configuration(),
            *self._judge_departures(),
            *self._record.judge_closed(self._is_calm),
            *stop_judges.judge(self._record, self._plays()),
        ]
        for broken in breaks:
            self._record.write(f'{broken.rule}: {broken.detail}')
        return Verdict(
            self._plan,
            tuple(breaks),
            stop_judges.served(self._record, self._plays()),
            len(self._stops.stops),
            self._hold_ups.longest_s,
            core,
            cuts.summary(self._record.sent, self._cuts.ended),
        )

    async def _play(self, stack):
        for server in self._pool:
            await server.start()
            stack.callback(server.crash)
        if not await self._wait_until_ready():
            self._record.add_break('FAULT', 'the system did not get ready')
            return
        self._spawn(stack, self._hold_ups.watch())
        tasks = [
            self._spawn(stack, client.run()) for client in self._clients()
        ]
        if self._plan.misbehaves:
            tasks += self._misbehave(stack)
        if self._plan.replacements:
            tasks.append(self._spawn(stack, self._core_play.read_all()))
            await self._core_play.run()
        else:
            tasks += await self._disrupt(stack)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        for task in tasks:
            if not task.cancelled():
                task.result()
        if not self._plan.replacements:
            await self._recover()
            await self._operator.read_at_end()

    async def _disrupt(self, stack):
        """Play for the seconds of the plan.

        :returns: the tasks that go on.
        """
        tasks = [self._spawn(stack, self._operate())]
        if self._plan.stops:
            tasks.append(self._spawn(stack, self._stops.probe()))
            if self._plan.server_faults:
                tasks.append(
                    self._spawn(stack, self._disruptions.run_servers())
                )
            await self._stops.run(self._plan.seconds)
        elif self._plan.cuts:
            stack.callback(self._cuts.close)
            await self._cuts.run(self._plan.seconds)
        else:
            if self._plan.disrupts:
                tasks.append(self._spawn(stack, self._disruptions.run()))
            await asyncio.wait(tasks, timeout=self._plan.seconds)
        return tasks

    def _clients(self):
        kind, count = clients.Client, CLIENTS
        if self._plan.stops:
            kind, count = going_on.Client, STOPS_CLIENTS
        if self._plan.replacements:
            count = REPLACEMENTS_CLIENTS
        return [
            kind(self._fleet, self._fork(), self._operator.paths)
            for _ in range(count)
        ]

    def _misbehave(self, stack):
        """Start clients that keep to no limit, and the watch on memory.

        They draw on their own, so that seeds play the same without them.
        """
        rng = random.Random(f'misbehaving {self._plan.seed}')
        misbehaving_clients = [
            misbehaving.Client(self._fleet, random.Random(rng.random()))
            for _ in range(misbehaving.CLIENTS)
        ]
        tasks = [
            self._spawn(stack, client.run()) for client in misbehaving_clients
        ]
        watching = misbehaving.watch_memory(self._fleet)
        return [*tasks, self._spawn(stack, watching)]

    async def _recover(self):
        """Bring all machines back."""
        for machine in self._fleet.machines:
            if machine.stopped:
                with contextlib.suppress(ProcessLookupError):
                    machine.signal(signal.SIGCONT)
                    machine.signal(signal.SIGKILL)
                await machine.wait()
                machine.start()

    async def _kill_at_start(self):
        machine = self._rng.choice(self._fleet.controls)
        await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        machine.signal(signal.SIGKILL)
        await machine.wait()
        await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        machine.start()

    async def _operate(self):
        while True:
            await asyncio.sleep(self._rng.uniform(0.3, 2.5))
            await self._operator.change()
            await self._operator.read()

    async def _wait_until_ready(self):
        for machine in self._fleet.edges:
            deadline_s = self._record.now_s() + READY_TIMEOUT_S
            while True:
                answer = await http.call(
                    machine.address('ready'), 'GET', '/bulrushrudder/readyz'
                )
                if answer.status == 200:
                    break
                if self._record.now_s() > deadline_s:
                    return False
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        return True

    def _judge_configuration(self):
        return operators.judge(
            self._operator.versions,
            self._record.sent,
            self._record.runs,
            self._is_calm,
        )

    def _judge_core(self, core):
        if core is None:
            return ()
        return core_judges.judge(core, self._record.most_held_up_s)

    def _is_calm(self, began_s, ended_s):
        """Return whether all machines were in touch for some time."""
        times_s = (
            *self._disruptions.times_s,
            *self._stops.times_s,
            *self._core_play.times_s,
        )
        return disruptions.is_calm(times_s, began_s, ended_s)

    def _plays(self):
        return stop_judges.Plays(
            tuple(self._stops.stops),
            tuple(self._stops.core_stops),
            tuple(self._stops.hangups),
            tuple(self._stops.probes),
            tuple(self._disruptions.times_s),
            operators.timeout_s(STOPS_PLAIN_MS),
            self._plan.server_faults,
            self._plan.misbehaves,
        )

    def _judge_departures(self):
        """Yield Breaks of requests to servers that had left.

        Only machines that were in touch all the while are judged.
        """
        for server in self._pool:
            for gone_s, at_s in server.late_arrivals:
                if self._is_calm(gone_s, at_s):
                    yield record.Break(
                        'DRAIN',
                        f'{server.id} got a request {at_s - gone_s:.2f} s '
                        'after it was acknowledged as gone',
                    )

    def _spawn(self, stack, coroutine):
        task = asyncio.create_task(coroutine)
        stack.callback(task.cancel)
        return task


def summary(verdict):
    """Return a Verdict as one line of JSON."""
    counts = {}
    for broken in verdict.breaks:
        counts[broken.rule] = counts.get(broken.rule, 0) + 1
    more = core_judges.summary(verdict.core) if verdict.core else {}
    if verdict.plan.cuts:
        more['cuts'] = verdict.cuts
    return json.dumps(
        {
            'seed': verdict.plan.seed,
            'served': round(verdict.served, 3),
            'broken': counts,
            'stops': verdict.stops,
            'lag_s': round(verdict.lag_s, 3),
            **more,
            'first': verdict.breaks[0].detail if verdict.breaks else '',
        }
    )
