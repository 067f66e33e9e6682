"""All crowds at once while the system changes under them."""

import asyncio
import contextlib
import pathlib
import random
import signal
import tempfile

from bulrushrudder.tests.builders import crowd_case
from bulrushrudder.tests.builders import crowds
from bulrushrudder.tests.soak import cuts
from bulrushrudder.tests.soak import programs
from bulrushrudder.tests.soak import versions_tests
from bulrushrudder.tests.soak import works

PORTS = ('frontend', 'ready', 'metrics', 'inner')
LARGE_VM_MB = 150
# The build before clients could hold memory that no account has.
PREVIOUS_BUILD = '36d32ab'
REJECTED = next(crowds.calls('/look/1', 1, key='other'))
LARGE = works.Work(takes_s=0.0, filler=crowds.ANSWER_BYTES)
SLOW = works.Work(takes_s=15.0)


def gather(frontend, *others):
    """Let crowds of all kinds connect to the listeners of an entry."""
    frontend.join(8, lambda: crowds.calls('/look/1', 400))
    frontend.join(20, lambda: crowds.calls('/book/1', 40, size=50_000))
    frontend.join(15, crowds.uploads(1_000_000), 0.01)
    frontend.join(40, crowds.endless_head)
    frontend.join(60, lambda: crowds.calls('/look/1', 1000, key='other'))
    frontend.reopen(10, 200, REJECTED, True)
    frontend.reopen(10, 200, b'P', False)
    for other in others:
        other.join(20, crowds.endless_head)


class ChangesTests(crowd_case.CrowdCase):
    async def check_change(self, memory_mb, change):
        """Check an entry under all crowds during a change.

        :param change: coroutine function of the fleet, the entry and a list
            whose item is the Work of the server.
        """
        work = [LARGE]
        async with crowds.system(
            memory_mb=memory_mb, draw=lambda _: work[0]
        ) as fleet:
            machine = fleet.edges[0]
            async with self.crowd(machine, *PORTS, memory_mb=memory_mb) as (
                watch,
                *gathered,
            ):
                gather(*gathered)
                await watch.look(1.0)
                changing = asyncio.create_task(change(fleet, machine, work))
                await watch.look(crowd_case.CROWD_S)
                await watch.look_while(changing)

    async def reload(self, fleet, machine, work):
        for _ in range(3):
            machine.signal(signal.SIGHUP)
            await asyncio.sleep(0.2)

    async def lose_control(self, fleet, machine, work):
        control = fleet.controls[0]
        control.signal(signal.SIGKILL)
        await control.wait()
        await asyncio.sleep(1.0)
        control.start()

    async def slow_servers(self, fleet, machine, work):
        work[0] = SLOW
        await asyncio.sleep(2.0)
        work[0] = LARGE

    async def test_reload_on_a_small_vm(self):
        await self.check_change(crowds.MEMORY_MB, self.reload)

    async def test_reload_on_a_larger_vm(self):
        await self.check_change(LARGE_VM_MB, self.reload)

    async def test_lost_control_process_on_a_small_vm(self):
        await self.check_change(crowds.MEMORY_MB, self.lose_control)

    async def test_lost_control_process_on_a_larger_vm(self):
        await self.check_change(LARGE_VM_MB, self.lose_control)

    async def test_slow_server_on_a_small_vm(self):
        await self.check_change(crowds.MEMORY_MB, self.slow_servers)

    async def test_slow_server_on_a_larger_vm(self):
        await self.check_change(LARGE_VM_MB, self.slow_servers)


class RelayTests(crowd_case.CrowdCase):
    # Guards against crowds whose calls take the memory of another VM.

    async def test_crowds_at_an_entry_that_is_cut_off_and_at_its_relay(self):
        async with crowds.system(edges=2) as fleet:
            cut_off, relay = fleet.edges
            severed = cuts.Cuts(fleet, random.Random(1))
            try:
                async with (
                    self.crowd(relay, *PORTS) as (watch, *at_relay),
                    self.crowd(cut_off, *PORTS) as (_, *at_cut_off),
                ):
                    severed.begin(cuts.Refuses(), [cut_off])
                    gather(*at_cut_off)
                    await watch.look(crowd_case.CROWD_S)
                    gather(*at_relay)
                    await watch.look(crowd_case.CROWD_S)
                log = relay.log.read_text()
            finally:
                severed.close()
        self.assertIn('"relaying"', log)


class ReplacedProcessTests(crowd_case.CrowdCase):
    @contextlib.asynccontextmanager
    async def crowds_at(self, machine):
        gathered = [crowds.Crowd(machine.address(port)) for port in PORTS]
        gather(*gathered)
        try:
            await asyncio.sleep(crowd_case.CROWD_S)
            yield
        finally:
            for crowd in gathered:
                await crowd.leave()

    async def replace(self, machine, root=programs.ROOT):
        """Stop an entry under all crowds and start one of a build."""
        async with self.crowds_at(machine):
            self.assertEqual(await crowds.stop(machine), 0)
            machine.root = root
            machine.start()
        await crowds.wait_until_ready(machine)

    async def test_stop_and_start_on_a_small_vm(self):
        async with crowds.system() as fleet:
            machine = fleet.edges[0]
            for _ in range(2):
                await self.replace(machine)
            async with self.crowd(machine, *PORTS) as (watch, *gathered):
                gather(*gathered)
                await watch.look(crowd_case.CROWD_S)

    async def test_upgrade_from_the_previous_build(self):
        with tempfile.TemporaryDirectory() as folder:
            previous = pathlib.Path(folder)
            versions_tests.check_out(PREVIOUS_BUILD, previous)
            async with crowds.system(
                memory_mb=LARGE_VM_MB, root=previous
            ) as fleet:
                machine = fleet.edges[0]
                await self.replace(machine)
                async with self.crowd(
                    machine, *PORTS, memory_mb=LARGE_VM_MB
                ) as (watch, *gathered):
                    gather(*gathered)
                    await watch.look(crowd_case.CROWD_S)
                await self.replace(machine, previous)
                await self.replace(machine)
