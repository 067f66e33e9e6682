"""Programs of an earlier build beside those of this one."""

import asyncio
import contextlib
import io
import pathlib
import random
import signal
import subprocess
import tempfile
import unittest

from bulrushrudder.tests.builders import crowds
from bulrushrudder.tests.soak import http
from bulrushrudder.tests.soak import operators
from bulrushrudder.tests.soak import programs
from bulrushrudder.tests.soak import record
from bulrushrudder.tests.soak import servers

# The build in use before evacuations, cold servers and ranks.
PREVIOUS_BUILD = '0c1f265'
# The last build that sends a log as one message and keeps 500 entries of any
# size.
BUILD_OF_LONG_LOGS = '19284e0'
IDLE_ROUTES = 350
# Their commands exceed the size at which a snapshot replaces the log once a
# second machine has been replaced.
CHANGES_PER_MACHINE = 8
# Servers of the soak stand in this zone.
ZONE = 'a'
ANSWER_TIMEOUT_S = 30.0


def check_out(commit, folder):
    """Write the files of a commit into a folder."""
    archive = subprocess.run(
        ['git', 'archive', commit],
        cwd=programs.ROOT,
        check=True,
        capture_output=True,
    )
    subprocess.run(
        ['tar', '--extract', '--directory', str(folder)],
        input=archive.stdout,
        check=True,
    )


class VersionsCase(unittest.IsolatedAsyncioTestCase):
    """Programs of an earlier build, which a test replaces in turn."""

    previous_build = PREVIOUS_BUILD

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        enter = self.stack.enter_context
        previous = pathlib.Path(enter(tempfile.TemporaryDirectory()))
        check_out(self.previous_build, previous)
        self.previous = previous
        rng = random.Random(1)
        self.fleet = programs.Fleet(
            pathlib.Path(enter(tempfile.TemporaryDirectory())),
            record.Record(io.StringIO()),
            rng,
            root=previous,
        )
        self.stack.callback(self.fleet.end)
        for machine in self.fleet.machines:
            machine.start(machine in self.fleet.controls)
        self.operator = operators.Operator(self.fleet, rng, (5_000, 1_000))
        self.assertTrue(await self.operator.send_first())
        server = servers.Server(self.fleet, rng, 'plain', 'plain', slots=40)
        await server.start()
        self.stack.callback(server.crash)

    async def replace(self, machine, root):
        """Replace the program of a machine; check that the system goes on."""
        machine.signal(signal.SIGTERM)
        await machine.wait()
        machine.root = root
        machine.start()
        await self.operator.change()
        self.assertIsNotNone(
            self.operator.versions[-1].acked_s, f'after {machine.name}'
        )

    async def status(self, machine, expected):
        """Return the status of a call, the expected one if it comes."""
        status = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while status != expected:
                    status = (await crowds.ordinary(machine)).status
                    await asyncio.sleep(0.1)
        return status

    async def check_calls(self, expected):
        for machine in self.fleet.edges:
            status = await self.status(machine, expected)
            self.assertEqual(status, expected, machine.name)


class VersionsTests(VersionsCase):
    """Guards against messages and log entries that one build cannot read.

    All machines are replaced in turn by this build and then by the previous
    one again.
    """

    async def order(self, method):
        """Evacuate or restore the zone of the servers."""
        path = f'/bulrushrudder/evacuations/{ZONE}'
        for machine in self.fleet.controls * 5:
            address = machine.address('control_plane')
            answer = await http.call(address, method, path, timeout_s=2.0)
            if answer.status == 200:
                return
        self.fail(f'{method} was not acknowledged: {answer.status}')

    async def test_members_are_replaced_forth_and_back(self):
        await self.check_calls(200)
        for machine in self.fleet.machines:
            await self.replace(machine, programs.ROOT)
            await self.check_calls(200)
        await self.order('POST')
        await self.check_calls(503)
        for machine in self.fleet.machines:
            await self.replace(machine, self.previous)
        # The previous build carries the evacuation without heeding it.
        await self.check_calls(200)
        entry = self.fleet.edges[0]
        await self.replace(entry, programs.ROOT)
        self.assertEqual(await self.status(entry, 503), 503)
        for machine in self.fleet.machines:
            if machine is not entry:
                await self.replace(machine, programs.ROOT)
        await self.check_calls(503)
        await self.order('DELETE')
        await self.check_calls(200)
        self.assertEqual(self.fleet.record.breaks, [])


class LongLogsTests(VersionsCase):
    """Guards against logs and snapshots that one build cannot take over.

    This build replaces its log by a snapshot long before the earlier one, so
    members and entries of either build catch up from the other's.
    """

    previous_build = BUILD_OF_LONG_LOGS

    async def replace_all(self, root):
        """Replace all machines in turn, with changes after each of them."""
        for machine in self.fleet.machines:
            await self.replace(machine, root)
            for _ in range(CHANGES_PER_MACHINE):
                await self.operator.change()
                self.assertIsNotNone(self.operator.versions[-1].acked_s)
            await self.check_calls(200)

    async def test_members_are_replaced_between_large_configurations(self):
        self.operator.add_idle_routes(IDLE_ROUTES)
        await self.replace_all(programs.ROOT)
        await self.replace_all(self.previous)
        await self.operator.read_at_end()
        self.assertEqual(self.fleet.record.breaks, [])


if __name__ == '__main__':
    unittest.main()
