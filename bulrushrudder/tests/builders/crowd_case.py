"""The checks of a process that a crowd of clients has met."""

import contextlib
import unittest

from bulrushrudder.tests.builders import crowds
from bulrushrudder.tests.builders import process_watch

# Descriptors that a crowd must leave to peers, servers and control.
RESERVED_FDS = 32
CROWD_S = 3.0


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Checks what does not depend on the speed of the machine."""

    @contextlib.asynccontextmanager
    async def crowd(self, machine, *ports, memory_mb=crowds.MEMORY_MB):
        """Check a process after the block, in which crowds meet it.

        :param ports: names of listeners.
        :param memory_mb: memory of the machine.
        :returns: the ProcessWatch, and a Crowd at each listener.
        """
        watch = process_watch.ProcessWatch(machine.pid)
        gathered = [crowds.Crowd(machine.address(port)) for port in ports]
        try:
            yield watch, *gathered
            with self.subTest('ordinary call'):
                await self.check_ordinary(machine)
        finally:
            for crowd in gathered:
                await crowd.leave()
        self.assertIsNone(machine.exit_code)
        await watch.look(0.1)
        with self.subTest('memory'):
            self.assertLess(watch.peak_mb, memory_mb)

    async def check(self, machine, port, max_fds=None, **crowd):
        """Check a process while one crowd stays connected.

        :param port: name of the listener.
        :param crowd: arguments of Crowd.join.
        """
        async with self.crowd(machine, port) as (watch, gathered):
            gathered.join(**crowd)
            await watch.look(CROWD_S)
        if max_fds:
            self.assertLess(watch.most_fds, max_fds - RESERVED_FDS)

    async def check_ordinary(self, machine):
        """Check that an ordinary call is answered."""
        if machine.role == 'control':
            status, content = await crowds.configuration(machine)
            self.assertEqual(status, 200)
            self.assertGreater(content['version'], 0)
            return
        answer = await crowds.ordinary(machine)
        self.assertEqual((answer.status, answer.whole), (200, True))
