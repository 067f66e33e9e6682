import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import unittest

TIMEOUT_S = 20.0


class StartTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a process that ends by itself because its settings
    # changed while it was starting.

    async def test_service_survives_sighup_while_it_starts(self):
        for command in ('entry', 'control'):
            with self.subTest(command):
                await self.check(command)

    async def check(self, command):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        settings = pathlib.Path(folder) / 'settings.yaml'
        os.mkfifo(settings)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bulrushrudder',
            command,
            str(settings),
            stderr=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(TIMEOUT_S):
            pipe = await self.open_for_reader(settings)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            os.write(pipe, b'no settings')
            os.close(pipe)
            code = await process.wait()
        self.assertGreater(code, 0)

    async def open_for_reader(self, path):
        """Open a pipe as soon as the process waits to read from it."""
        while True:
            try:
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                await asyncio.sleep(0.01)
