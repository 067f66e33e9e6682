import asyncio
import contextlib
import unittest
from unittest import mock

import logbook
from returns import result

from bulrushrudder.core import path_errors
from bulrushrudder.lifecycle import paths
from bulrushrudder.protocol import errors
from bulrushrudder.protocol import tunnel_ends
from bulrushrudder.protocol import tunnel_messages
from bulrushrudder.protocol import tunnels
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import relays
from bulrushrudder.tests.builders import scripted_engines
from bulrushrudder.utils import ports

TIMEOUT_S = 5.0
LARGE_BYTES = 4 * 1024 * 1024


class Recorder(asyncio.BufferedProtocol):
    """Records what arrives on a connection, and how it ends."""

    def __init__(self):
        self.data = bytearray()
        self.transport = None
        self.at_eof = False
        self.lost = asyncio.get_running_loop().create_future()
        self._buffer = bytearray(1000)

    def connection_made(self, transport):
        self.transport = transport

    def get_buffer(self, size):
        return memoryview(self._buffer)

    def buffer_updated(self, size):
        self.data += self._buffer[:size]

    def eof_received(self):
        self.at_eof = True

    def connection_lost(self, error):
        self.lost.set_result(error)

    async def wait_for(self, size):
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.data) < size:
                await asyncio.sleep(0.01)


class TunnelTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.enterContext(logbook.TestHandler().applicationbound())
        self.stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        self.accepted = asyncio.Queue()
        listener = await asyncio.start_server(self.accept, '127.0.0.1', 0)
        self.stack.callback(listener.close)
        self.listener = listener
        port = listener.sockets[0].getsockname()[1]
        self.server = fleet.server('s-1', port=port, kind='service')
        self.relay = await relays.Vm('relay', relays.view(self.server)).start(
            self.stack
        )

    async def accept(self, reader, writer):
        ended = asyncio.Event()
        self.stack.callback(ended.set)
        self.stack.callback(writer.close)
        await self.accepted.put((reader, writer))
        await ended.wait()

    async def dial(self, secret=relays.SECRET, **changes):
        fields = {'server': 's-1', 'incarnation': self.server.incarnation}
        request = tunnel_messages.OpenTunnel(**{**fields, **changes})
        async with asyncio.timeout(TIMEOUT_S):
            return await tunnels.dial(
                self.relay.address,
                fleet.owner('user'),
                secret,
                request,
                Recorder(),
            )

    async def open(self):
        """Return the user's end, and the server's reader and writer."""
        opened = await self.dial()
        async with asyncio.timeout(TIMEOUT_S):
            return opened.unwrap(), *await self.accepted.get()

    async def test_bytes_pass_both_ways(self):
        user, reader, writer = await self.open()
        user.transport.write(b'question')
        self.assertEqual(await reader.readexactly(8), b'question')
        writer.write(b'answer')
        await user.wait_for(6)
        self.assertEqual(user.data, b'answer')

    # Guards against tunnels that take more than the VM of the relay has.

    async def test_tunnels_beyond_the_memory_of_the_relay_are_refused(self):
        users = []
        for _ in range(self.relay.ledger.limits.calls):
            match await self.dial():
                case result.Failure(tunnel_messages.TunnelRefused() as told):
                    break
                case result.Success(user):
                    users.append(user)
        else:
            self.fail('all tunnels were opened')
        self.assertEqual(told.reason, paths.RelayProblem.BUSY)
        self.assertGreater(len(users), 10)
        self.assertLessEqual(
            len(users) * 2 * 2 * tunnel_ends.MAX_BUFFERED_BYTES,
            self.relay.ledger.limits.held_bytes,
        )
        users[0].transport.abort()
        async with asyncio.timeout(TIMEOUT_S):
            while isinstance(await self.dial(), result.Failure):
                await asyncio.sleep(0.01)

    async def test_bytes_of_the_server_right_behind_the_handshake_arrive(self):
        asked = asyncio.create_task(self.dial())
        _, writer = await self.accepted.get()
        writer.write(b'unasked')
        user = (await asked).unwrap()
        await user.wait_for(7)
        self.assertEqual(user.data, b'unasked')

    async def test_wrong_secret_opens_nothing(self):
        match await self.dial(secret=b'another secret'):
            case result.Failure(errors.LinkError(problem=problem)):
                self.assertEqual(problem, errors.LinkProblem.REFUSED)
            case opened:
                self.fail(opened)
        self.assertEqual(self.relay.cut.dialled, [])

    async def check_refused(self, problem, **changes):
        match await self.dial(**changes):
            case result.Failure(
                tunnel_messages.TunnelRefused(reason=reason) as refused
            ):
                self.assertEqual(reason, problem)
                return refused
            case opened:
                raise AssertionError(f'opened: {opened!r}')

    async def test_unknown_server_is_refused(self):
        await self.check_refused(
            paths.RelayProblem.UNKNOWN_SERVER, server='other'
        )
        self.assertEqual(self.relay.cut.dialled, [])

    async def test_other_incarnation_is_refused(self):
        await self.check_refused(
            paths.RelayProblem.UNKNOWN_SERVER,
            incarnation=self.server.incarnation + 1,
        )
        self.assertEqual(self.relay.cut.dialled, [])

    async def test_relay_that_stops_refuses(self):
        self.relay.leaving = True
        await self.check_refused(paths.RelayProblem.STOPPING)

    async def test_server_that_refuses_is_named_so(self):
        self.listener.close()
        refused = await self.check_refused(paths.RelayProblem.SERVER_REFUSES)
        self.assertFalse(refused.reaches_others)

    async def test_abort_of_the_user_closes_the_server_connection(self):
        user, reader, _ = await self.open()
        user.transport.write(b'question')
        await reader.readexactly(8)
        user.transport.abort()
        async with asyncio.timeout(TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                self.assertEqual(await reader.read(), b'')

    async def test_close_of_the_server_arrives_behind_its_bytes(self):
        user, _, writer = await self.open()
        writer.write(b'x' * LARGE_BYTES)
        writer.close()
        async with asyncio.timeout(TIMEOUT_S):
            self.assertIsNone(await user.lost)
        self.assertTrue(user.at_eof)
        self.assertEqual(len(user.data), LARGE_BYTES)

    async def test_reset_of_the_server_is_no_clean_end(self):
        user, _, writer = await self.open()
        writer.write(b'part')
        await user.wait_for(4)
        with contextlib.suppress(ConnectionError):
            await scripted_engines.reset(writer)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertIsInstance(await user.lost, OSError)
        # Guards against a server's reset that counts as a lost path.
        self.assertNotIsInstance(
            user.lost.result(), path_errors.TunnelBrokeError
        )
        self.assertFalse(user.at_eof)

    # Guards against a part of an answer that passes for the whole, as its
    # server closed the connection while the call was being written.

    async def check_no_clean_end(self, user):
        async with asyncio.timeout(TIMEOUT_S / 5):
            self.assertIsInstance(await user.lost, ConnectionResetError)
        self.assertFalse(user.at_eof)
        self.assertEqual(user.data, b'part')

    async def test_close_before_the_call_has_arrived_is_no_clean_end(self):
        user, _, writer = await self.open()
        writer.transport.pause_reading()
        user.transport.write(b'x' * 4 * LARGE_BYTES)
        await asyncio.sleep(0.2)
        writer.write(b'part')
        writer.write_eof()
        await self.check_no_clean_end(user)

    async def test_close_before_the_relay_read_the_call_is_no_clean_end(self):
        user, _, writer = await self.open()
        (tunnel,) = self.relay.tunnels._tunnels
        tunnel.accepted.transport.pause_reading()
        user.transport.write(b'question')
        await asyncio.sleep(0.1)
        writer.write(b'part')
        writer.write_eof()
        await self.check_no_clean_end(user)

    async def test_end_of_the_relay_is_no_clean_end(self):
        user, _, writer = await self.open()
        writer.write(b'part')
        await user.wait_for(4)
        self.relay.paths.close()
        async with asyncio.timeout(TIMEOUT_S):
            self.assertIsInstance(await user.lost, OSError)
        self.assertIsInstance(user.lost.result(), path_errors.TunnelBrokeError)
        self.assertFalse(user.at_eof)

    async def test_lost_path_of_the_relay_is_no_reset_of_the_server(self):
        accepted = mock.Mock()
        accepted.is_closing.return_value = False
        tunnel = tunnel_ends.Tunnel(accepted, tunnel_ends.ServerEnd())
        tunnel.server_lost(TimeoutError('no acknowledgement'))
        accepted.write.assert_not_called()
        accepted.abort.assert_called_once_with()

    async def test_slow_reader_holds_up_the_server(self):
        user, _, writer = await self.open()
        user.transport.pause_reading()
        writer.write(b'x' * 8 * LARGE_BYTES)
        await asyncio.sleep(0.5)
        left = writer.transport.get_write_buffer_size()
        self.assertGreater(left, LARGE_BYTES)
        user.transport.resume_reading()
        await user.wait_for(8 * LARGE_BYTES)

    # Guards against readers that pause, as slow callers do, being taken for
    # lost paths.

    async def test_reader_that_pauses_gets_all_bytes(self):
        user, _, writer = await self.open()
        user.transport.pause_reading()
        writer.write(b'x' * 8 * LARGE_BYTES)
        await asyncio.sleep(3.5)
        user.transport.resume_reading()
        await user.wait_for(8 * LARGE_BYTES)

    async def test_server_that_reads_late_gets_all_bytes(self):
        user, reader, writer = await self.open()
        writer.transport.pause_reading()
        user.transport.write(b'x' * 8 * LARGE_BYTES)
        await asyncio.sleep(3.5)
        writer.transport.resume_reading()
        async with asyncio.timeout(TIMEOUT_S):
            data = await reader.readexactly(8 * LARGE_BYTES)
        self.assertEqual(len(data), 8 * LARGE_BYTES)

    # Guards against crashes that are not reported since the witness has
    # crashed as well.

    async def test_server_that_refuses_beside_another_of_its_service(self):
        self.listener.close()
        witness = await asyncio.start_server(self.accept, '127.0.0.1', 0)
        self.stack.callback(witness.close)
        (port,) = ports.free_ports(1)
        for index, server in enumerate(
            (
                fleet.server('s-0', port=port, kind='service'),
                fleet.server(
                    'd-1',
                    port=witness.sockets[0].getsockname()[1],
                    serves=('other',),
                ),
            ),
            2,
        ):
            self.relay.view.state.servers.apply(
                index, servers.JoinServer(server)
            )
        refused = await self.check_refused(paths.RelayProblem.SERVER_REFUSES)
        self.assertTrue(refused.reaches_others)

    async def test_slow_server_holds_up_the_user(self):
        user, reader, writer = await self.open()
        writer.transport.pause_reading()
        user.transport.write(b'x' * 8 * LARGE_BYTES)
        await asyncio.sleep(0.5)
        left = user.transport.get_write_buffer_size()
        self.assertGreater(left, LARGE_BYTES)
        writer.transport.resume_reading()
        async with asyncio.timeout(TIMEOUT_S):
            data = await reader.readexactly(8 * LARGE_BYTES)
        self.assertEqual(len(data), 8 * LARGE_BYTES)

    async def test_tunnels_in_use_end_within_the_stop_of_the_relay(self):
        user, _, writer = await self.open()
        self.relay.leaving = True
        loop = asyncio.get_running_loop()
        finishing = asyncio.create_task(
            self.relay.tunnels.finish(loop.time() + TIMEOUT_S)
        )
        writer.write(b'last part')
        await user.wait_for(9)
        self.assertFalse(finishing.done())
        user.transport.abort()
        async with asyncio.timeout(TIMEOUT_S / 2):
            await finishing
