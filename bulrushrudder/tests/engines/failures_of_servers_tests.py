import asyncio
import unittest
from unittest import mock

from bulrushrudder.core import path_errors
from bulrushrudder.engines import connections
from bulrushrudder.engines import kept_bytes
from bulrushrudder.engines import responses
from bulrushrudder.tests.builders import fleet

GARBAGE = b'no HTTP\r\n\r\n'


class FailuresOfServersTests(unittest.IsolatedAsyncioTestCase):
    # Guards against failures of servers that count as lost paths, and lost
    # paths that count as failures of servers.
    def connection(self, relay):
        connection = connections.Connection('id', kept_bytes.KeptBytes())
        transport = mock.Mock()
        connection.connection_made(transport)
        connection.relay = relay
        connection.send(responses.Call(b'GET'), connections.ignore_head)
        return connection

    async def problem(self, connection):
        async with asyncio.timeout(1.0):
            return await connection.part()

    async def check(self, relay, error, of_server):
        connection = self.connection(relay)
        connection.connection_lost(error)
        problem = await self.problem(connection)
        self.assertIs(problem.kind, responses.ProblemKind.BROKEN)
        self.assertIs(problem.of_server, of_server)

    async def test_reset_and_close_behind_a_tunnel_are_of_the_server(self):
        relay = fleet.owner('relay')
        await self.check(relay, ConnectionResetError(), True)
        await self.check(relay, None, True)

    async def test_tunnel_that_broke_is_not_of_the_server(self):
        error = path_errors.TunnelBrokeError()
        await self.check(fleet.owner('relay'), error, False)

    async def test_direct_break_may_be_of_the_path(self):
        await self.check(None, ConnectionResetError(), False)
        await self.check(None, None, False)

    async def test_invalid_answer_is_of_the_server_on_any_path(self):
        for relay in (None, fleet.owner('relay')):
            connection = self.connection(relay)
            buffer = connection.get_buffer(len(GARBAGE))
            buffer[: len(GARBAGE)] = GARBAGE
            connection.buffer_updated(len(GARBAGE))
            problem = await self.problem(connection)
            self.assertIs(problem.kind, responses.ProblemKind.INVALID)
            self.assertTrue(problem.of_server)
