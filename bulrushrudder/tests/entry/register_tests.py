import asyncio
import contextlib
import dataclasses
import unittest

import aiohttp

from bulrushrudder.config import settings
from bulrushrudder.core import ids
from bulrushrudder.entry import process
from bulrushrudder.standins import deployment
from bulrushrudder.utils import ports

DOCUMENT = """\
version: 1
accounts:
  - id: court
    rate: 1
    burst: 100
    keys: ["{digest}"]
models:
  - id: drafting
    max_output_tokens: 64
routes:
  - id: bookings
    path: /bookings
    service: portal
    repeatable: false
    call_tokens: 10
    patience_s: 1
  - id: lookups
    path: /lookups
    service: portal
    call_tokens: 50
    patience_s: 5
at_most_once:
  max_answer_bytes: 100
"""
START_TIMEOUT_S = 20.0
MAX_TRIES = 400


class TwoVms:
    """A control process, two entry processes and stand-ins on one loop."""

    def __init__(self, running, second):
        self.running = running
        self.urls = (running.callers_url, f'http://{second.entry.callers}')
        self.calls = running.fleet.service.calls

    async def post(self, vm, path, body, call_id=None):
        headers = dict(self.running.headers)
        if call_id is not None:
            headers['Idempotency-Key'] = call_id
        async with self.running.session.post(
            f'{self.urls[vm]}{path}', data=body, headers=headers
        ) as response:
            replayed = response.headers.get('Idempotency-Replayed')
            return response.status, await response.read(), replayed


async def start(stack):
    running = await deployment.start(stack, DOCUMENT)
    addresses = [
        settings.Address(ports.LOOPBACK, port) for port in ports.free_ports(4)
    ]
    second = dataclasses.replace(
        running.settings,
        vm=ids.VmId('vm2'),
        entry=settings.EntrySettings(*addresses),
        control=None,
    )
    entry = process.EntryProcess(second)
    await entry.start(stack)
    for _ in range(MAX_TRIES):
        with contextlib.suppress(aiohttp.ClientError):
            url = f'http://{second.entry.callers}/-/ready'
            async with running.session.get(url) as response:
                sessions = running.entry.view.state.sessions.by_vm
                if response.status == 200 and len(sessions) == 2:
                    return TwoVms(running, second)
        await asyncio.sleep(0.02)
    raise AssertionError('the second entry process did not become ready')


class RegisterTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        async with asyncio.timeout(START_TIMEOUT_S):
            self.vms = await start(stack)

    async def test_resend_through_other_vm_replays_recorded_answer(self):
        first = await self.vms.post(0, '/bookings', b'{}', 'b-1')
        again = await self.vms.post(1, '/bookings', b'{}', 'b-1')
        self.assertEqual(first[0], 201)
        self.assertEqual(again, (first[0], first[1], 'true'))
        self.assertEqual(len(self.vms.calls), 1)

    async def test_concurrent_calls_through_both_vms_run_once(self):
        answers = await asyncio.gather(
            *(
                self.vms.post(number % 2, '/bookings', b'{}', 'b-1')
                for number in range(8)
            )
        )
        self.assertEqual({answer[:2] for answer in answers}, {answers[0][:2]})
        self.assertEqual(len(self.vms.calls), 1)

    async def test_refuses_other_body_under_same_id(self):
        await self.vms.post(0, '/bookings', b'{}', 'b-1')
        status, _, _ = await self.vms.post(1, '/bookings', b'{1}', 'b-1')
        self.assertEqual(status, 422)
        self.assertEqual(len(self.vms.calls), 1)

    async def test_large_answer_is_neither_stored_nor_run_again(self):
        body = b'x' * 200
        first = await self.vms.post(0, '/bookings', body, 'b-1')
        again = await self.vms.post(1, '/bookings', body, 'b-1')
        self.assertEqual((first[0], again[0]), (201, 409))
        self.assertEqual(len(self.vms.calls), 1)

    async def test_records_answer_after_caller_disconnects(self):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.004):
                await self.vms.post(0, '/bookings', b'{}', 'b-1')
        for _ in range(MAX_TRIES):
            answer = await self.vms.post(1, '/bookings', b'{}', 'b-1')
            if answer[0] == 201:
                break
        self.assertEqual(answer[0], 201)
        self.assertEqual(len(self.vms.calls), 1)

    async def test_burst_limit_covers_both_vms(self):
        statuses = [
            (await self.vms.post(number % 2, '/lookups', b'{}'))[0]
            for number in range(6)
        ]
        self.assertEqual(statuses, [201, 201, 429, 429, 429, 429])

    async def test_replay_costs_no_tokens(self):
        for _ in range(15):
            answer = await self.vms.post(0, '/bookings', b'{}', 'b-1')
            self.assertEqual(answer[0], 201)
        self.assertEqual(len(self.vms.calls), 1)
