"""Random losses of control machines, as many at a time as are tolerated."""

import heapq
import itertools

from bulrushrudder.tests.builders import cluster
from bulrushrudder.tests.builders import replacements


class Losses:
    """Loses and replaces machines of a Fleet at random moments.

    A machine counts as lost until it, or its successor, has been back for
    CATCH_UP_S.

    :param fleet: the Fleet.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.group = fleet.group
        self.random = fleet.group.random
        self.busy = set()
        self.lost = 0
        # Three voters bear no loss beside a machine that is taken out.
        self._replacing_first = fleet.size == 3
        self._numbers = itertools.count()
        self._steps = []

    def play(self, seconds):
        """Lose machines for some time.

        :raises AssertionError: if a tolerated loss could leave a
            configuration without a quorum.
        """
        until_s = self.group.now_s + seconds
        while self.group.now_s < until_s:
            if self.lost < self.fleet.tolerance and self.random.random() < 0.1:
                self._lose_one()
            self.group.run(cluster.STEP_S)
            self._run_due_steps()
            if not self.lost:
                self.fleet.check_losses_tolerated()
            if self.random.random() < 0.05 and self.group.leaders():
                self.fleet.propose()

    def end(self):
        """Lose power, and as many disks as are still tolerated."""
        spare = self.fleet.tolerance - self.lost
        idle = [m for m in self.fleet.machines if m not in self.busy]
        self._steps = []
        while len(self.fleet.machines) < self.fleet.size:
            self.fleet.add()
        self.fleet.lose_power(self.random.sample(idle, spare))

    def _lose_one(self):
        idle = [m for m in self.fleet.machines if m not in self.busy]
        if not idle:
            return
        machine = self.random.choice(idle)
        kind = self.random.randrange(5)
        if kind == 1 and self._replacing_first:
            return
        self.busy.add(machine)
        match kind:
            case 0:
                self.lost += 1
                self.fleet.lose(machine)
                self._after(self._away_s(), self._succeed)
            case 1:
                self._replacing_first = True
                successor = self.fleet.add()
                self.busy.add(successor)
                self._after(
                    replacements.CATCH_UP_S,
                    lambda: self._take_out(machine, successor),
                )
            case 2:
                self.lost += 1
                self.group.wipe(machine)
                self._after(self._away_s(), lambda: self._start(machine))
            case 3:
                self.lost += 1
                self.group.kill(machine)
                self._after(self._away_s(), lambda: self._start(machine))
            case 4:
                self.lost += 1
                paused = self.group.processes_by_address.pop(machine)
                self._after(
                    self.random.uniform(0.5, 8.0),
                    lambda: self._go_on(machine, paused),
                )

    def _away_s(self):
        return self.random.choice((0.3, 1.0, 3.0))

    def _succeed(self):
        self._count_after(self.fleet.add())

    def _take_out(self, machine, successor):
        """Take out a machine whose successor has been there for long."""
        self.busy -= {machine, successor}
        self._replacing_first = False
        if self.random.random() < 0.5:
            self.fleet.stop(machine)
        else:
            self.fleet.lose(machine)

    def _start(self, machine):
        self.group.start(machine)
        self._count_after(machine)

    def _go_on(self, machine, paused):
        self.group.processes_by_address[machine] = paused
        self._count_after(machine)

    def _count_after(self, machine):
        self._after(replacements.CATCH_UP_S, lambda: self._count(machine))

    def _count(self, machine):
        self.lost -= 1
        self.busy.discard(machine)

    def _after(self, seconds, step):
        due_s = self.group.now_s + seconds
        heapq.heappush(self._steps, (due_s, next(self._numbers), step))

    def _run_due_steps(self):
        while self._steps and self._steps[0][0] <= self.group.now_s:
            heapq.heappop(self._steps)[2]()
