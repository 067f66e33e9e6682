import asyncio
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import unittest

from bulrushrudder.tests.builders import soak_cores
from bulrushrudder.tests.soak import cuts
from bulrushrudder.tests.soak import gates
from bulrushrudder.tests.soak import programs

PROGRAM = """
import socket, sys
with socket.create_connection(('127.0.0.1', int(sys.argv[1])), 1.0) as opened:
    print(opened.getsockname()[0])
"""


class GateTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = soak_cores.fleet(self, folder, random.Random(1))
        self.cuts = cuts.Cuts(self.fleet, random.Random(1))
        self.addCleanup(self.cuts.close)
        server = await asyncio.start_server(self.echo, '127.0.0.1', 0)
        self.addCleanup(server.close)
        gate = gates.Gate(self.fleet, self.cuts)
        self.addAsyncCleanup(gate.close)
        self.address = await gate.open(server.sockets[0].getsockname()[:2])

    async def echo(self, reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def connect(self, machine):
        reader, writer = await asyncio.open_connection(
            *self.address, local_addr=(machine.ip, 0)
        )
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def answer(self, reader, writer):
        writer.write(b'x')
        async with asyncio.timeout(0.2):
            return await reader.read(1)

    async def test_bytes_pass_both_ways(self):
        ends = await self.connect(self.fleet.edges[0])
        self.assertEqual(await self.answer(*ends), b'x')

    async def test_hanging_connections_of_one_machine_only(self):
        first = await self.connect(self.fleet.edges[0])
        other = await self.connect(self.fleet.edges[1])
        self.cuts.begin(cuts.Hangs(), self.fleet.edges[:1])
        with self.assertRaises(TimeoutError):
            await self.answer(*first)
        self.assertEqual(await self.answer(*other), b'x')
        self.cuts.heal(self.fleet.edges[:1])
        async with asyncio.timeout(1.0):
            self.assertEqual(await first[0].read(1), b'x')

    async def test_reset_connections_of_one_machine_only(self):
        first = await self.connect(self.fleet.edges[0])
        other = await self.connect(self.fleet.edges[1])
        await self.answer(*first)
        await self.answer(*other)
        self.cuts.begin(cuts.Resets(), self.fleet.edges[:1])
        with self.assertRaises(ConnectionResetError):
            await self.answer(*first)
        self.assertEqual(await self.answer(*other), b'x')

    async def test_connections_live_on_while_new_ones_are_refused(self):
        first = await self.connect(self.fleet.edges[0])
        self.cuts.begin(cuts.Refuses(), self.fleet.edges[:1])
        self.assertEqual(await self.answer(*first), b'x')


class DetourTests(unittest.TestCase):
    def setUp(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = soak_cores.fleet(self, folder, random.Random(1))
        self.cuts = cuts.Cuts(self.fleet, random.Random(1))
        self.addCleanup(self.cuts.close)
        self.machine = self.fleet.edges[0]
        listener = self.enterContext(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        self.port = listener.getsockname()[1]

    def connect(self):
        """Return what a program prints that connects to a server."""
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': str(programs.INJECTED),
            'SOAK_HOST': self.machine.ip,
            'SOAK_DETOUR': str(self.machine.detour),
        }
        return subprocess.run(
            [sys.executable, '-c', PROGRAM, str(self.port)],
            env=environment,
            capture_output=True,
            text=True,
            timeout=30.0,
            check=False,
        )

    def test_connection_comes_from_the_address_of_its_machine(self):
        self.assertEqual(self.connect().stdout.strip(), self.machine.ip)

    def test_new_connections_of_a_machine_are_refused(self):
        self.cuts.begin(cuts.Resets(), [self.machine])
        self.assertIn('ConnectionRefusedError', self.connect().stderr)

    def test_new_connections_of_a_machine_hang(self):
        self.cuts.begin(cuts.Hangs(), [self.machine])
        self.assertIn('TimeoutError', self.connect().stderr)

    def test_machine_connects_again_after_a_cut(self):
        self.cuts.begin(cuts.Resets(), [self.machine])
        self.cuts.heal([self.machine])
        self.assertEqual(self.connect().stdout.strip(), self.machine.ip)
