"""Crowds at several listeners of one process, and in its log."""

import asyncio

from bulrushrudder.tests.builders import crowd_case
from bulrushrudder.tests.builders import crowds

ENTRY_PORTS = ('frontend', 'ready', 'metrics', 'inner')
CONTROL_PORTS = ('control_plane', 'metrics', 'inner')
# A frame of the inner protocol that announces more than it has.
FRAME = b'\x00\x00\x01\x00' + b'a' * 20
TOO_LONG_FRAME = b'\x7f\xff\xff\xff'
INVALID = b'\x00\x01 is no request\r\n\r\n'
INVALID_REQUESTS = 6000
# A tenth of the lines that one line a request would be.
MAX_LOG_LINES = INVALID_REQUESTS // 10
MAX_LOG_BYTES = 2_000_000


def unfinished_frame():
    """Yield the beginning of a frame, and bytes that never complete it."""
    yield FRAME
    for _ in range(200):
        yield b'a'


def beginning_of_request():
    """Yield the beginning of a head, and bytes that never complete it."""
    yield b'GET / HTTP/1.1\r\nHost: a\r\nX-A: '
    for _ in range(200):
        yield b'a'


class ListenersTests(crowd_case.CrowdCase):
    # Guards against listeners that each take the memory of the whole VM.

    async def test_heads_without_end_at_all_listeners_of_an_entry(self):
        async with crowds.system() as fleet:
            machine = fleet.edges[0]
            ports = ('frontend', 'ready', 'metrics')
            async with self.crowd(machine, *ports) as (watch, *gathered):
                for crowd in gathered:
                    crowd.join(200, crowds.endless_head)
                await watch.look(crowd_case.CROWD_S)
                await self.check_probes(machine, 'ready', 'metrics')

    async def test_heads_without_end_at_all_listeners_of_control(self):
        async with crowds.system() as fleet:
            machine = fleet.controls[0]
            ports = ('control_plane', 'metrics')
            async with self.crowd(machine, *ports) as (watch, *gathered):
                for crowd in gathered:
                    crowd.join(250, crowds.endless_head)
                await watch.look(crowd_case.CROWD_S)
                await self.check_probes(machine, 'metrics')

    # Guards against listeners that together take all descriptors.

    async def test_connections_to_all_listeners_leave_descriptors(self):
        async with crowds.system(max_fds=crowds.MAX_FDS) as fleet:
            await self.check_descriptors(fleet.edges[0], ENTRY_PORTS)

    async def test_connections_leave_control_process_descriptors(self):
        async with crowds.system(max_fds=crowds.MAX_FDS) as fleet:
            await self.check_descriptors(fleet.controls[0], CONTROL_PORTS)

    # Guards against links that never prove that they know the secret.

    async def test_unfinished_handshakes_leave_descriptors(self):
        async with crowds.system(max_fds=crowds.MAX_FDS) as fleet:
            await self.check_descriptors(fleet.edges[0], ('inner',))

    async def check_descriptors(self, machine, ports):
        async with self.crowd(machine, *ports) as (watch, *gathered):
            for port, crowd in zip(ports, gathered, strict=True):
                pieces = beginning_of_request
                if port == 'inner':
                    pieces = unfinished_frame
                crowd.join(150, pieces, pause_s=0.05)
                crowd.reopen(150, 20, FRAME, True)
            await watch.look(crowd_case.CROWD_S)
        self.assertLess(
            watch.most_fds, crowds.MAX_FDS - crowd_case.RESERVED_FDS
        )

    async def check_probes(self, machine, *ports):
        """Check that probes at other listeners are answered."""
        paths = {'ready': '/bulrushrudder/readyz', 'metrics': '/metrics'}
        for port in ports:
            with self.subTest(port):
                answer = await crowds.get(machine.address(port), paths[port])
                self.assertEqual(answer.status, 200)


class InvalidBodiesTests(crowd_case.CrowdCase):
    # Guards against bodies that take a thousand times their size once they
    # are parsed, or in the errors that they cause.

    async def test_invalid_configurations_leave_control_its_memory(self):
        body = b'{"version":99,"routes":[' + b'{},' * 300_000 + b'{}]}'
        async with crowds.system() as fleet:
            machine = fleet.controls[0]
            async with self.crowd(machine) as (watch,):
                for _ in range(3):
                    answer = await crowds.put_configuration(machine, body)
                    self.assertEqual(answer.status, 400)


class LogTests(crowd_case.CrowdCase):
    # Guards against a log that grows with what clients send.

    async def test_invalid_requests_leave_few_lines(self):
        await self.check_log('frontend', INVALID)

    async def test_refused_links_leave_few_lines(self):
        await self.check_log('inner', TOO_LONG_FRAME)

    async def test_long_ids_do_not_make_long_lines(self):
        async with crowds.system() as fleet:
            machine = fleet.edges[0]
            async with self.crowd(machine, 'frontend') as (watch, crowd):
                await watch.look_while(
                    crowd.call(
                        20,
                        lambda: crowds.calls_with_long_ids(50, key='other'),
                    )
                )
            self.assertLess(machine.log.stat().st_size, MAX_LOG_BYTES)

    async def check_log(self, port, piece):
        async with crowds.system() as fleet:
            machine = fleet.edges[0]
            async with self.crowd(machine, port) as (watch, crowd):
                await watch.look_while(
                    crowd.reopen(20, INVALID_REQUESTS // 20, piece, True)
                )
            lines = machine.log.read_bytes().count(b'\n')
            self.assertLess(lines, MAX_LOG_LINES)


class StoppingTests(crowd_case.CrowdCase):
    async def test_process_stops_with_crowds_at_all_listeners(self):
        async with crowds.system() as fleet:
            machine = fleet.edges[0]
            gathered = [
                crowds.Crowd(machine.address(port)) for port in ENTRY_PORTS
            ]
            for crowd in gathered:
                crowd.join(60, crowds.endless_head)
            await asyncio.sleep(crowd_case.CROWD_S)
            try:
                code = await crowds.stop(machine)
            finally:
                for crowd in gathered:
                    await crowd.leave()
            self.assertEqual(code, 0)
