import asyncio
import math
import unittest
from unittest import mock

from returns import result

from bulrushrudder.documents import types
from bulrushrudder.entry import cold_permits
from bulrushrudder.observers import view
from bulrushrudder.protocol import errors
from bulrushrudder.protocol import place_messages
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import cold_fleet
from bulrushrudder.tests.builders import fleet

GONE = result.Failure(
    errors.LinkError(errors.LinkProblem.CLOSED, 'down', False)
)


def granted(wait_s=0.0):
    return result.Success(place_messages.CallGranted('decode-1', wait_s))


class FakeCoordinator:
    """Gives prepared answers and records the questions."""

    def __init__(self, answers):
        self._answers = list(answers)
        self.questions = []

    async def request_call(self, message):
        self.questions.append(message)
        return self._answers.pop(0)


class PermitTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.view = view.View(types.Environment.PRODUCTION)
        self.held_back = 0

    def join(self, server):
        self.view.apply(self.view.index + 1, servers.JoinServer(server))

    def confirm(self):
        number = self.view.begin_round(asyncio.get_running_loop().time())
        self.view.confirm_round(number, self.view.index)

    def count(self):
        self.held_back += 1

    async def ask(self, server, *answers, bounds=cold_fleet.BOUNDS):
        self.coordinator = FakeCoordinator(answers)
        permits = cold_permits.ColdPermits(
            self.view, self.coordinator, bounds, self.count
        )
        return await permits.ask(server)

    async def test_warm_server_needs_no_question(self):
        for server in (cold_fleet.cold_server(cold=False), fleet.server()):
            self.join(server)
            self.confirm()
            self.assertEqual(await self.ask(server), math.inf)

    async def test_nothing_is_asked_without_bounds(self):
        self.join(server := cold_fleet.cold_server())
        self.assertEqual(await self.ask(server, bounds=None), math.inf)

    async def test_cold_server_gets_a_request_in_time_only(self):
        self.join(server := cold_fleet.cold_server())
        self.confirm()
        now_s = asyncio.get_running_loop().time()
        until_s = await self.ask(server, granted())
        self.assertTrue(now_s < until_s < now_s + 1.0)
        (limit,) = self.coordinator.questions[0].limits
        self.assertEqual((limit.cold_requests_per_s, limit.cold), (12.0, True))
        self.assertIsNone(limit.requests_per_s)

    # Guards against a request that was granted while the server was warm.
    async def test_state_at_the_time_of_sending_counts(self):
        self.join(cold_fleet.cold_server())
        self.confirm()
        await self.ask(cold_fleet.cold_server(cold=False), granted())
        self.assertEqual(len(self.coordinator.questions), 1)

    async def test_server_that_is_absent_counts_as_cold(self):
        self.confirm()
        await self.ask(cold_fleet.cold_server(cold=False), granted())
        (limit,) = self.coordinator.questions[0].limits
        self.assertTrue(limit.cold)

    async def test_outdated_view_asks_without_saying_that_it_is_cold(self):
        self.join(server := cold_fleet.cold_server(cold=False))
        await self.ask(server, granted())
        (limit,) = self.coordinator.questions[0].limits
        self.assertFalse(limit.cold)

    async def test_next_coordinator_is_asked_after_one_that_is_gone(self):
        self.join(server := cold_fleet.cold_server())
        self.assertIsNotNone(await self.ask(server, GONE, granted()))
        self.assertEqual(self.held_back, 0)

    async def test_nothing_is_sent_without_a_permit(self):
        self.join(server := cold_fleet.cold_server())
        deferred = result.Success(place_messages.CallDeferred(0.4))
        self.assertIsNone(await self.ask(server, deferred))
        self.assertIsNone(await self.ask(server, GONE, GONE))
        self.assertEqual(self.held_back, 2)

    # Guards against permits that pile up while the VM stands still, and
    # are used in the same second.
    async def test_permit_whose_time_passed_in_a_pause_is_asked_for_again(
        self,
    ):
        self.join(server := cold_fleet.cold_server())
        loop = asyncio.get_running_loop()
        read = loop.time
        pauses_s = [0.0, 3.0]

        async def sleep(seconds):
            pauses_s[0] += pauses_s.pop()
            pauses_s.append(0.0)

        with (
            mock.patch.object(loop, 'time', lambda: read() + pauses_s[0]),
            mock.patch.object(asyncio, 'sleep', sleep),
            mock.patch.object(cold_permits, 'PERMIT_TIMEOUT_S', 60.0),
        ):
            until_s = await self.ask(server, granted(), granted())
            self.assertGreater(until_s, loop.time())
        self.assertEqual(len(self.coordinator.questions), 2)
