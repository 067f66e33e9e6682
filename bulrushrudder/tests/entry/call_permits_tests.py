import asyncio
import unittest
from unittest import mock

from returns import result

from bulrushrudder.engines import services as plain_services
from bulrushrudder.entry import call_permits
from bulrushrudder.protocol import place_messages
from bulrushrudder.tests.builders import fleet

SERVER = fleet.server('s1', kind='service')
REQUESTS_PER_S = 2.0
WAIT_S = 0.01


class FakeFleet:
    """A router, a monitor and a coordinator with one limited server."""

    def __init__(self):
        self.questions = 0

    def servers(self, service):
        return {SERVER.id: SERVER}

    def server(self, server_id):
        return SERVER

    def candidates(self, service, tried, unavailable, size):
        return [SERVER]

    def unavailable(self, by_id):
        return []

    def requests_per_s(self, server):
        return REQUESTS_PER_S

    def takes_work(self, server):
        return True

    async def request_call(self, request):
        self.questions += 1
        granted = place_messages.CallGranted(SERVER.id, WAIT_S)
        return result.Success(granted)


class PauseTests(unittest.IsolatedAsyncioTestCase):
    # Guards against calls that were spread over a second to keep the limit
    # of a server, and are sent together after a pause.

    async def choose(self, pauses_s):
        """Choose a server; each wait for a grant takes longer by a pause."""
        self.fakes = FakeFleet()
        permits = call_permits.CallPermits(self.fakes, self.fakes, self.fakes)
        loop = asyncio.get_running_loop()
        paused_s = 0.0
        read = loop.time

        async def sleep(seconds):
            nonlocal paused_s
            paused_s += pauses_s.pop(0) if pauses_s else 0.0

        call = plain_services.Call(
            'POST', '/', (), b'', 5.0, deadline_s=loop.time() + 60.0
        )
        with (
            mock.patch.object(loop, 'time', lambda: read() + paused_s),
            mock.patch.object(asyncio, 'sleep', sleep),
        ):
            return await permits.choose('portal', call, [])

    async def test_grant_that_is_used_in_time_needs_one_question(self):
        chosen = await self.choose([])
        self.assertEqual(chosen, result.Success(SERVER))
        self.assertEqual(self.fakes.questions, 1)

    async def test_grant_whose_time_passed_in_a_pause_is_asked_for_again(self):
        chosen = await self.choose([3.0])
        self.assertEqual(chosen, result.Success(SERVER))
        self.assertEqual(self.fakes.questions, 2)
