"""Builders of what the soak saw of a core whose machines were replaced."""

import io
from unittest import mock

from bulrushrudder.tests.soak import core_judges
from bulrushrudder.tests.soak import memberships
from bulrushrudder.tests.soak import operators
from bulrushrudder.tests.soak import programs
from bulrushrudder.tests.soak import record
from bulrushrudder.tests.soak import replacements

# As the users' pages state it.
CATCH_UP_S = 4.0
ROUNDING_S = 1e-6


def version(number, sent_s, acked_s):
    """Return a Version with one route."""
    return operators.Version(
        number, b'{}', {'/book/': 'plain'}, sent_s, acked_s
    )


def seen(*versions, **changes):
    """Return what was Seen of a series that all machines outlived."""
    fields = {
        'versions': versions,
        'began_s': 0.0,
        'times_s': (),
        'replaced': 6,
        'ended_s': 100.0,
    }
    return core_judges.Seen(**{**fields, **changes})


def dark(read_s, **changes):
    """Return what was Seen of an end at 50 s, back at 51 s."""
    return seen(
        version(1, 10.0, 10.1),
        times_s=(50.0, 51.0),
        dark_s=50.0,
        back_s=51.0,
        read_s=read_s,
        **changes,
    )


def disk(id_, position, voters_by_id=None, learners_by_id=None):
    """Return a Disk."""
    return memberships.Disk(
        id_, position, voters_by_id or {}, learners_by_id or {}
    )


class TimedRecord(record.Record):
    """A record whose time is given.

    :ivar time_s: seconds since the soak began.
    """

    def __init__(self):
        super().__init__(io.StringIO())
        self.time_s = 100.0

    def now_s(self):
        """Return the time that was given."""
        return self.time_s


def fleet(test, folder, rng, controls=5):
    """Return a Fleet that no program of runs, and that ends with a test."""
    made = programs.Fleet(folder, TimedRecord(), rng, controls=controls)
    test.addCleanup(made.end)
    return made


class StillCore:
    """A fleet in virtual time whose programs never run.

    :param test: the TestCase.
    :param folder: folder of the Fleet.
    :param rng: random.Random.
    :ivar fleet: the Fleet.
    :ivar losses: for each signal to a program, how many machines of the
        core were then left that had run for at least catch_up_s.
    """

    def __init__(self, test, folder, rng):
        self.fleet = fleet(test, folder, rng)
        self.losses = []
        self._started_s = {m.name: 0.0 for m in self.fleet.controls}
        patches = (
            (programs.Machine, 'start', lambda *args: self._start(*args)),
            (programs.Machine, 'signal', lambda *args: self._signal(*args)),
            (programs.Machine, 'wait', lambda machine: self._wait(machine)),
            (programs.Machine, 'lose_disk', lambda machine: None),
            (replacements.asyncio, 'sleep', self._sleep),
            (replacements.stops, 'last_term', lambda machine: 0),
            (replacements.starts, 'last_s', lambda machine: 0.0),
        )
        for owner, name, replacement in patches:
            test.enterContext(mock.patch.object(owner, name, replacement))

    def count_caught_up(self):
        """Return how many machines count as sound."""
        until_s = self.fleet.record.now_s() - CATCH_UP_S + ROUNDING_S
        return sum(at_s <= until_s for at_s in self._started_s.values())

    def _start(self, machine, bootstrap=False, seeds=None):
        self._started_s[machine.name] = self.fleet.record.now_s()

    def _signal(self, machine, number):
        del self._started_s[machine.name]
        self.losses.append(self.count_caught_up())

    async def _wait(self, machine):
        pass

    async def _sleep(self, seconds):
        self.fleet.record.time_s += seconds


class IdleOperator:
    """An operator whose only version is acknowledged.

    :ivar versions: the Versions.
    """

    def __init__(self):
        self.versions = [version(1, 0.0, 0.1)]
