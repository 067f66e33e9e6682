"""Whole processes whose VM has a time of day that steps."""

import asyncio
import time
import unittest
from unittest import mock

from bulrushrudder.core import ids
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import platform
from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import runners

STEP_S = 8.0
STEP_NS = 8_000_000_000
CALLS = 12
PREFILL_REPLY = b'{"kv_handle":"3fa09c41b7d5","token_count":1460,"version":1}'
# Less than the lease of a session, after which any process may open one.
TAKEOVER_TIMEOUT_S = 3.0


class SteppingClocksTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a process that has no session until the one of its
    # predecessor has expired, because the time of day was set back.

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(platform_fleet.running())
        await self.fleet.put_configuration(platform.CONFIGURATION)
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version == 7
        )

    def owners(self):
        by_vm = self.fleet.entry.view.state.sessions.by_vm
        return [session.owner for session in by_vm.values()]

    async def test_entry_opens_its_session_after_clock_was_set_back(self):
        (before,) = self.owners()
        earlier_ns = time.time_ns() - STEP_NS
        with mock.patch.object(time, 'time_ns', lambda: earlier_ns):
            await self.fleet.restart_entry()
        async with asyncio.timeout(TAKEOVER_TIMEOUT_S):
            while self.owners() == [before]:
                await asyncio.sleep(0.02)
        (after,) = self.owners()
        self.assertLess(after.incarnation, before.incarnation)

    async def test_calls_are_served_while_time_of_day_steps(self):
        # Guards against a view, a key, tokens or a place whose validity goes
        # by the time of day.
        await self.fleet.add_runner(
            lambda call: [runners.answer(PREFILL_REPLY)],
            'i-p',
            stage='prefill',
        )
        await self.fleet.add_runner(lambda call: [runners.stream(1, 3)], 'i-d')
        read = time.time
        statuses = []
        for number in range(CALLS):
            step_s = STEP_S * (number % 3 - 1)
            with (
                mock.patch.object(
                    time, 'time', lambda step_s=step_s: read() + step_s
                ),
                mock.patch.object(
                    time,
                    'time_ns',
                    lambda step_s=step_s: int((read() + step_s) * 1e9),
                ),
            ):
                statuses.append(await self.call())
                await asyncio.sleep(0.1)
        self.assertEqual(statuses, [200] * CALLS)

    async def call(self):
        async with self.fleet.call('/drafts/1') as response:
            await response.read()
            return response.status

    async def test_entry_does_not_reopen_its_session_beside_its_successor(
        self,
    ):
        # Guards against a process that was cut off while its VM was replaced
        # and takes the session back when it returns.
        (before,) = self.owners()
        successor = ids.Owner(before.vm, before.incarnation - 1)
        opening = sessions.OpenSession(
            successor,
            ids.Zone('a'),
            '127.0.0.1',
            1,
            replaces=before.incarnation,
            seen_index=self.fleet.entry.view.index,
        )
        await self.fleet.entry.control_client.propose(opening)
        await asyncio.sleep(TAKEOVER_TIMEOUT_S)
        self.assertEqual(self.owners(), [successor])
