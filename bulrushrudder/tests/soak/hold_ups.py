"""How long processes wait for a processor, as the kernel counts it."""

import asyncio
import pathlib

STEP_S = 0.05
SOAK = 'soak'
NS_PER_SECOND = 1e9


class HoldUps:
    """Notes hold-ups of all machines and of the soak itself.

    :param fleet: the Fleet.
    :ivar longest_s: the longest one of the soak itself.
    """

    def __init__(self, fleet):
        self.longest_s = 0.0
        self._fleet = fleet
        self._record = fleet.record
        self._waited_s_by_process = {}

    async def watch(self):
        """Note hold-ups until cancelled."""
        while True:
            began_s = self._record.now_s()
            await asyncio.sleep(STEP_S)
            late_s = self._record.now_s() - began_s - STEP_S
            self.longest_s = max(self.longest_s, late_s)
            self._note(SOAK, late_s)
            for machine in self._fleet.machines:
                self._look(machine)

    def _look(self, machine):
        waited_s = _waited_s(machine.pid)
        before_s = self._waited_s_by_process.get(machine.process, waited_s)
        self._waited_s_by_process[machine.process] = waited_s
        self._note(machine.process, waited_s - before_s)

    def _note(self, process, for_s):
        if for_s > STEP_S:
            self._record.add_hold_up(process, for_s)


def _waited_s(pid):
    """Return for how long a process has waited for a processor in all.

    :returns: seconds; 0 once it has ended, or if the kernel does not say.
    """
    try:
        text = pathlib.Path(f'/proc/{pid}/schedstat').read_text()
    except OSError:
        return 0.0
    return int(text.split()[1]) / NS_PER_SECOND
