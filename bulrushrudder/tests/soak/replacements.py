"""Series of control machines that are replaced, and everything dark."""

import asyncio
import dataclasses
import shutil
import signal

from bulrushrudder.tests.soak import programs
from bulrushrudder.tests.soak import starts
from bulrushrudder.tests.soak import stops

CONTROLS = 5
# A machine counts as lost for so long after it, or its successor, starts.
CATCH_UP_S = 4.0
# A program that starts slowly on a busy machine gets so much more.
RUNNING_S = 2.5
START_TIMEOUT_S = 30.0
DOWN_S = 1.0
# Most steps begin within this time after the last loss stopped counting.
MAX_PAUSE_S = 1.0
REST_S = 9.0
ACK_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Replaced:
    """A machine is lost for good, and an empty one takes its place.

    :param number: the signal that ends the machine's program.
    :param successor_first: whether the successor starts before the loss.
    """

    number: signal.Signals
    successor_first: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DiskLost:
    """A machine is killed and comes back with an empty disk."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rest:
    """Nothing happens for a while."""


Step = Replaced | DiskLost | Rest


def draw(rng):
    """Return the Steps of a series."""
    steps = [
        Replaced(
            rng.choice((signal.SIGKILL, signal.SIGTERM)), rng.random() < 0.25
        )
        for _ in range(rng.randint(6, 9))
    ]
    for _ in range(rng.choice((0, 0, 1, 2))):
        steps.insert(rng.randint(0, len(steps)), DiskLost())
    if rng.random() < 0.25:
        steps.insert(rng.randint(1, len(steps)), Rest())
    return steps


def draw_pause_s(rng):
    """Draw the seconds from when nothing counts as lost to a loss."""
    return rng.choice((0.0, rng.uniform(0.0, MAX_PAUSE_S)))


class Replacements:
    """Replaces machines of the core, at most one of them lost at a time.

    :param fleet: the Fleet.
    :param operator: the Operator.
    :param rng: random.Random.
    :ivar times_s: seconds at which machines were disrupted.
    :ivar keeps_seeds: whether all are started again with seeds that are
        gone.
    :ivar replaced: machines that were lost for good so far.
    :ivar dark_s: when all programs were killed; None before.
    :ivar back_s: when all were started again; None before.
    :ivar kept_disks: copies of the data folders of that time.
    :ivar lost_disk: the one of them whose original was lost.
    """

    def __init__(self, fleet, operator, rng):
        self.times_s = []
        self.replaced = 0
        self.dark_s = None
        self.back_s = None
        self.kept_disks = []
        self.lost_disk = None
        self._fleet = fleet
        self._record = fleet.record
        self._operator = operator
        self._rng = rng
        self.keeps_seeds = rng.random() < 0.3
        self._clear_s = 0.0
        self._started = None
        self._ends = []

    async def run(self):
        """Play a series up to the moment at which all may go dark."""
        for step in draw(self._rng):
            await self._sleep_until_clear(draw_pause_s(self._rng))
            self._record.write(f'step: {step}')
            await self._play(step)
        await self._sleep_until_clear(
            self._rng.choice((0.0, 0.0, self._rng.uniform(0.0, 3.0)))
        )
        if self._rng.random() < 0.5:
            await self._wait_for_ack()

    async def go_dark(self):
        """Kill all programs, empty one disk and start all again."""
        self._note()
        self.dark_s = self._record.now_s()
        machines = self._fleet.machines
        for machine in (*machines, *self._fleet.lost):
            if machine.exit_code is None:
                machine.signal(signal.SIGKILL)
        await asyncio.gather(*self._ends, *(m.wait() for m in machines))
        for machine in self._fleet.controls:
            shutil.copytree(machine.data_folder, _kept_disk(machine))
            self.kept_disks.append(_kept_disk(machine))
        wiped = self._to_wipe()
        self.lost_disk = _kept_disk(wiped)
        wiped.lose_disk()
        passed_s = self._record.now_s() - self.dark_s
        await asyncio.sleep(DOWN_S - passed_s)
        seeds = self._seeds_after_dark()
        for machine in machines:
            machine.start(seeds=seeds)
        self._note()
        self.back_s = self._record.now_s()

    async def _play(self, step):
        match step:
            case Replaced(number=number, successor_first=True):
                lost = self._victim()
                self._start_successor(lost)
                await self._sleep_until_clear(0.0)
                self._lose(lost, number)
            case Replaced(number=number):
                lost = self._victim()
                self._lose(lost, number)
                await asyncio.sleep(DOWN_S)
                self._start_successor(lost)
            case DiskLost():
                await self._replace_disk(self._victim())
            case Rest():
                await asyncio.sleep(REST_S)

    def _lose(self, machine, number):
        self._note()
        machine.signal(number)
        self._fleet.remove_control(machine)
        self.replaced += 1
        self._ends.append(asyncio.create_task(machine.wait()))

    def _start_successor(self, lost):
        self._start(self._fleet.add_control(lost.zone))

    async def _replace_disk(self, machine):
        self._note()
        machine.signal(signal.SIGKILL)
        await machine.wait()
        machine.lose_disk()
        await asyncio.sleep(DOWN_S)
        self._start(machine)

    def _victim(self):
        """Choose a machine, the leader and the seeds more often."""
        share = self._rng.random()
        controls = self._fleet.controls
        if share < 0.35:
            return max(controls, key=stops.last_term)
        if share < 0.65:
            return controls[0]
        return self._rng.choice(controls)

    def _to_wipe(self):
        controls = self._fleet.controls
        return self._rng.choice(
            (
                controls[-1],
                max(controls, key=stops.last_term),
                self._rng.choice(controls),
            )
        )

    def _seeds_after_dark(self):
        """Return the seeds that all programs get, or None."""
        lost = self._fleet.lost
        return lost[: programs.SEEDS] if self.keeps_seeds else None

    async def _sleep_until_clear(self, pause_s):
        """Sleep until nothing counts as lost, and some time more."""
        if self._started is not None:
            running_s = await self._wait_until_started(self._started)
            self._clear_s = max(self._clear_s, running_s + RUNNING_S)
        until_s = self._clear_s + pause_s
        await asyncio.sleep(max(0.0, until_s - self._record.now_s()))

    async def _wait_until_started(self, machine):
        """Return when a program had started."""
        until_s = self._record.now_s() + START_TIMEOUT_S
        while (running_s := starts.last_s(machine)) is None:
            if self._record.now_s() > until_s:
                self._record.add_break(
                    'FAULT',
                    f'{machine.name} did not start in {START_TIMEOUT_S} s',
                )
                return until_s
            await asyncio.sleep(0.1)
        return running_s

    async def _wait_for_ack(self):
        until_s = self._record.now_s() + ACK_WAIT_S
        version = self._operator.versions[-1]
        while version.acked_s is None and self._record.now_s() < until_s:
            await asyncio.sleep(0.005)

    def _start(self, machine):
        machine.start()
        self._started = machine
        self._note()
        self._clear_s = self._record.now_s() + CATCH_UP_S

    def _note(self):
        self.times_s.append(self._record.now_s())


def _kept_disk(machine):
    """Return the path of the copy of a data folder."""
    folder = machine.data_folder
    return folder.with_name(f'{folder.name}-dark')
