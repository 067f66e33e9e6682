"""Plays a series of replaced control machines and reads back after it."""

import asyncio

from bulrushrudder.tests.soak import core_judges
from bulrushrudder.tests.soak import memberships
from bulrushrudder.tests.soak import replacements
from bulrushrudder.tests.soak import starts

# Much longer than the bound, to tell a late read from one that never comes.
READ_BACK_S = 30.0
READ_PAUSE_S = 0.2
CHANGE_PAUSE_S = (0.4, 1.0)
SLOW_DISKS_SHARE = 0.25
SLOW_SYNC_S = (0.005, 0.04)


class CorePlay:
    """Replaces machines of the core while the operator changes things.

    :param fleet: the Fleet.
    :param operator: the Operator.
    :param rng: random.Random.
    """

    def __init__(self, fleet, operator, rng):
        self._fleet = fleet
        self._operator = operator
        self._rng = rng
        if rng.random() < SLOW_DISKS_SHARE:
            fleet.sync_s = rng.uniform(*SLOW_SYNC_S)
        self._replacements = replacements.Replacements(fleet, operator, rng)
        self._read_s = None
        self._began_s = 0.0

    @property
    def times_s(self):
        """Return the seconds at which machines were disrupted."""
        return self._replacements.times_s

    async def run(self):
        """Play the series, let all go dark, and read back."""
        self._began_s = self._fleet.record.now_s()
        operating = asyncio.create_task(self._operate())
        try:
            await self._replacements.run()
        finally:
            operating.cancel()
        await asyncio.wait([operating])
        if not operating.cancelled():
            operating.result()
        await self._replacements.go_dark()
        self._read_s = await self._operator.read_back(
            self._replacements.back_s + READ_BACK_S
        )
        if self._read_s is not None:
            await self._operator.change()

    async def read_all(self):
        """Read the configuration at one machine after the other."""
        while True:
            for machine in tuple(self._fleet.controls):
                await self._operator.read(machine)
                await asyncio.sleep(READ_PAUSE_S)

    def end(self):
        """End all programs.

        :returns: what was Seen of the core.
        """
        ended_s = self._fleet.record.now_s()
        self._fleet.end()
        played = self._replacements
        before, after = self._memberships()
        return core_judges.Seen(
            tuple(self._operator.versions),
            self._began_s,
            tuple(played.times_s),
            played.replaced,
            ended_s,
            played.dark_s,
            played.back_s,
            self._read_s,
            before,
            after,
            self._fleet.sync_s,
            played.keeps_seeds,
            self._slowest_start_s(),
            self._held_up_s(),
        )

    async def _operate(self):
        while True:
            await asyncio.sleep(self._rng.uniform(*CHANGE_PAUSE_S))
            await self._operator.change()

    def _held_up_s(self):
        if self._read_s is None:
            return 0.0
        return self._fleet.record.most_held_up_s(
            self._replacements.back_s, self._read_s
        )

    def _slowest_start_s(self):
        machines = (*self._fleet.controls, *self._fleet.lost)
        return max(
            (
                start_s - at_s
                for machine in machines
                for at_s, start_s in starts.of(machine)
                if at_s >= self._began_s
            ),
            default=0.0,
        )

    def _memberships(self):
        """Return the last Membership when all went dark, and the one left.

        In the second one the disk that was lost then is gone too.
        """
        kept = self._replacements.kept_disks
        if not kept:
            return memberships.Membership(), memberships.Membership()
        left = memberships.read(kept, self._fleet.root)
        gone = memberships.read(self._lost_disks(), self._fleet.root)
        lost_last = kept.index(self._replacements.lost_disk)
        still_left = [*left[:lost_last], *left[lost_last + 1 :]]
        return (
            memberships.last(left, gone),
            memberships.last(still_left, [*gone, left[lost_last]]),
        )

    def _lost_disks(self):
        """Return the data folders of disks that are gone."""
        folders = [machine.data_folder for machine in self._fleet.lost]
        return [
            *(folder for folder in folders if folder.exists()),
            *self._fleet.folder.glob('data-*-lost-*'),
        ]
