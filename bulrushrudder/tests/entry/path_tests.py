import asyncio
import contextlib
import dataclasses
import json
import socket
import time
import types as python_types
import unittest
from unittest import mock

import aiohttp

from bulrushrudder.documents import types
from bulrushrudder.engines import client
from bulrushrudder.entry import answers
from bulrushrudder.lifecycle import retries
from bulrushrudder.standins import engine
from bulrushrudder.standins import entry_path
from bulrushrudder.standins import faulty_engine
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import documents

TOKENS = 16
SETTLE_TIMEOUT_S = 3.0
POLL_S = 0.02
START_POLL_S = 0.002
# Exceeds the capacity of all buffers between an engine and a caller.
LONG_ANSWER_TOKENS = 16384
# Outlasts a test run on a slow machine: the poison request tests do not
# depend on the expiry of KV caches.
CACHE_S = 60.0
# Suspects run one at a time, which on a slow machine can take longer than
# callers usually wait for a place; the tests check the number of crashes.
PATIENCE_S = 60.0
# A retry after a crash repeats two orders; how far retries are bounded is
# left to other tests.
AMPLE_RETRIES = 1000.0
MAX_CRASHES_BY_ONE = 3
MAX_CRASHES_BY_TEN = 30


def document(version=1, key=documents.CALLER_KEY, cut=False, **terms):
    found = documents.document(
        version,
        accounts=(documents.account(rate=1e6, burst=10**6, key=key),),
        routes=(documents.model_route(**terms),),
    )
    return dataclasses.replace(
        found,
        models=(types.Model('drafting', LONG_ANSWER_TOKENS),),
        cut_on_withdrawal=cut,
    )


def silence(services):
    """Make an entry send nothing any more, as when its VM has lost power.

    Its connections stay open, so that engines go on with its attempts.

    :param services: the SharedServices of an entry whose requests decode.
    """

    async def wait_forever(*args):
        await asyncio.Event().wait()

    services.canceller.cancel = lambda server, attempt: None
    services.engines = python_types.SimpleNamespace(inspect=wait_forever)


class PathTestCase(unittest.IsolatedAsyncioTestCase):
    terms = python_types.MappingProxyType({})

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        self.path = entry_path.EntryPath(self.stack, document(**self.terms))

    async def start(
        self,
        decodes=2,
        prefills=2,
        entries=1,
        cache_s=engine.KV_CACHE_LIFETIME_S,
        **options,
    ):
        for number in range(prefills):
            await self.path.add_engine(
                f'p{number}', 'prefill', number, cache_s=cache_s
            )
        for number in range(decodes):
            await self.path.add_engine(
                f'd{number}', 'decode', 100 + number, **options
            )
        self.urls = [
            await self.path.add_entry(f'vm{number}')
            for number in range(entries)
        ]

    async def stream(self, prompt, url=None, count=TOKENS):
        return await entry_path.stream(
            self.session,
            url or self.urls[0],
            documents.CALLER_KEY,
            prompt,
            count,
        )

    async def settle(self, condition, poll_s=POLL_S):
        """Wait until a condition is true, for SETTLE_TIMEOUT_S at most.

        Callers, entries and engines share the loop and get on alike. Time
        in which the machine runs other work counts for none of them: the
        limit holds for the pauses between the checks as asked for, and for
        the processor time of this process.

        :param condition: function that returns whether to go on.
        """
        began_s = time.process_time()
        paused_s = 0.0
        while not condition():
            used_s = time.process_time() - began_s
            self.assertLess(
                max(used_s, paused_s),
                SETTLE_TIMEOUT_S,
                self.path.held_attempts(),
            )
            await asyncio.sleep(poll_s)
            paused_s += poll_s

    async def check_all_released(self):
        """Check that no attempts, places or running requests are left."""
        allocations_by_request = self.path.coordinator.allocations_by_request
        await self.settle(
            lambda: (
                not self.path.held_attempts() and not allocations_by_request
            )
        )
        for found in self.path.services:
            await found.finish()
            self.assertEqual(found.running, set())

    def engine_running(self):
        """Return a decode engine that holds an attempt, or None."""
        for name, found in self.path.engines_by_id.items():
            if name.startswith('d') and found.held_by_attempt:
                return found
        return None

    def decoding_attempts(self):
        """Return how many attempts the decode engines hold."""
        return sum(
            len(found.held_by_attempt)
            for name, found in self.path.engines_by_id.items()
            if name.startswith('d')
        )

    async def wait_until_running(self):
        await self.settle(lambda: self.engine_running(), START_POLL_S)
        return self.engine_running()


class ResumeTests(PathTestCase):
    async def test_resumes_stream_from_kv_cache_after_reset(self):
        fault_probabilities = faulty_engine.FaultProbabilities(reset=1.0)
        await self.start(fault_probabilities=fault_probabilities)
        self.path.engines_by_id[
            'd1'
        ].fault_probabilities = faulty_engine.NO_FAULTS
        seen = await self.stream('a reset')
        self.assertTrue(seen.whole, seen.text)
        prefills = [self.path.engines_by_id[n].runs for n in ('p0', 'p1')]
        self.assertEqual(sum(prefills), 1)
        await self.check_all_released()

    async def test_resumes_stream_with_new_prefill_after_crash(self):
        fault_probabilities = faulty_engine.FaultProbabilities(crash=1.0)
        await self.start(fault_probabilities=fault_probabilities)
        self.path.engines_by_id[
            'd1'
        ].fault_probabilities = faulty_engine.NO_FAULTS
        seen = await self.stream('a crash')
        self.assertTrue(seen.whole, seen.text)
        self.assertEqual(self.path.engines_by_id['d0'].crashes, 1)
        await self.check_all_released()

    async def test_resumes_stream_after_decode_server_goes_silent(self):
        await self.start(
            fault_probabilities=faulty_engine.FaultProbabilities(silence=1.0)
        )
        self.path.engines_by_id[
            'd1'
        ].fault_probabilities = faulty_engine.NO_FAULTS
        with mock.patch.object(client, 'FIRST_TOKEN_TIMEOUT_S', 0.2):
            seen = await self.stream('silence')
        self.assertTrue(seen.whole, seen.text)
        await self.check_all_released()

    async def test_retries_elsewhere_when_decode_server_is_full(self):
        await self.start(
            fault_probabilities=faulty_engine.FaultProbabilities(full=1.0)
        )
        self.path.engines_by_id[
            'd1'
        ].fault_probabilities = faulty_engine.NO_FAULTS
        seen = await self.stream('full')
        self.assertTrue(seen.whole, seen.text)
        await self.check_all_released()

    async def test_retries_failed_server_when_it_is_the_only_one(self):
        await self.start(
            decodes=1,
            fault_probabilities=faulty_engine.FaultProbabilities(crash=1.0),
        )
        engine = self.path.engines_by_id['d0']
        call = asyncio.create_task(self.stream('one server'))
        await self.settle(lambda: engine.crashes, START_POLL_S)
        engine.fault_probabilities = faulty_engine.NO_FAULTS
        self.assertTrue((await call).whole)
        await self.check_all_released()

    async def test_ends_stream_with_error_when_resuming_fails(self):
        await self.start(
            fault_probabilities=faulty_engine.FaultProbabilities(crash=1.0)
        )
        seen = await self.stream('lost')
        self.assertFalse(seen.whole)
        self.assertTrue(seen.ended, seen.text)
        await self.check_all_released()


class CallerTests(PathTestCase):
    async def test_releases_everything_when_callers_disconnect(self):
        await self.start(token_s=0.05)
        calls = [
            asyncio.create_task(self.stream(f'prompt {number}', count=400))
            for number in range(10)
        ]
        await self.wait_until_running()
        for number, call in enumerate(calls):
            await asyncio.sleep(0.01 * (number % 3))
            call.cancel()
        await self.check_all_released()
        spent = self.path.authority.spent_by_account['acme']
        self.assertLess(spent, 10 * 100)

    async def test_cancels_request_of_caller_that_stops_reading(self):
        await self.start(token_s=0.0)
        with mock.patch.object(answers, 'CALLER_STALL_TIMEOUT_S', 0.3):
            host, port = self.urls[0].removeprefix('http://').split(':')
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect((host, int(port)))
            reader, writer = await asyncio.open_connection(
                sock=caller, limit=1024
            )
            self.stack.callback(writer.close)
            body = json.dumps(
                {
                    'prompt': 'slow',
                    'max_tokens': LONG_ANSWER_TOKENS,
                    'stream': True,
                }
            )
            head = (
                'POST /v1/completions HTTP/1.1\r\nHost: entry\r\n'
                f'Authorization: Bearer {documents.CALLER_KEY}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            writer.write((head + body).encode())
            writer.transport.pause_reading()
            running = await self.wait_until_running()
            await self.check_all_released()
            self.assertLess(running.tokens, LONG_ANSWER_TOKENS)

    async def stream_through_withdrawal(self, cut):
        """Withdraw the key of a running and of a queued request.

        Checks that the queued request is refused.

        :returns: what the caller of the running request saw.
        """
        await self.path.add_engine('p0', 'prefill', 1)
        await self.path.add_engine('d0', 'decode', 2, places=1, token_s=0.05)
        self.urls = [await self.path.add_entry('vm0')]
        runs = asyncio.create_task(self.stream('runs'))
        await self.wait_until_running()
        waits = asyncio.create_task(self.stream('waits'))
        await asyncio.sleep(0.1)
        self.path.put_in_force(document(2, 'brk_other', cut))
        seen = await waits
        self.assertEqual(seen.status, 401)
        self.assertIn('"not run"', seen.text)
        seen = await runs
        await self.check_all_released()
        return seen

    async def test_key_that_is_withdrawn_with_the_grant_starts_nothing(self):
        # Guards against a request that is sent before the next periodic
        # check of its key, as after a pause.
        await self.start()
        request_place = self.path.coordinator.request_place

        async def withdraw_and_grant(place_request):
            self.path.put_in_force(document(2, 'brk_other'))
            return await request_place(place_request)

        with mock.patch.object(
            self.path.coordinator, 'request_place', withdraw_and_grant
        ):
            seen = await self.stream('too late')
        self.assertEqual(seen.status, 401)
        self.assertIn('"not run"', seen.text)
        await self.check_all_released()
        runs = [found.runs for found in self.path.engines_by_id.values()]
        self.assertEqual(sum(runs), 0)
        self.assertEqual(self.path.authority.spent_by_account['acme'], 0)

    async def test_withdrawn_key_does_not_end_running_stream(self):
        self.assertTrue((await self.stream_through_withdrawal(False)).whole)

    async def test_withdrawn_key_ends_running_stream_if_configured(self):
        seen = await self.stream_through_withdrawal(True)
        self.assertFalse(seen.whole)
        self.assertTrue(seen.ended)
        self.assertIn('key_unknown', seen.text)


class OrphanTests(PathTestCase):
    # Guards against a dead entry that goes on in the test: it repeated what
    # its peers had cancelled, and attempts were held again.
    async def test_peers_cancel_attempts_of_dead_entry(self):
        await self.start(entries=3, token_s=0.05, cache_s=CACHE_S)
        # The peers have to see the session of an entry before it closes.
        await asyncio.sleep(0.3)
        calls = [
            asyncio.create_task(self.stream(f'p{n}', self.urls[0], 400))
            for n in range(6)
        ]
        await self.settle(
            lambda: (
                self.decoding_attempts() == 6
                and len(self.path.held_attempts()) == 6
            )
        )
        dead = self.path.services[0]
        silence(dead)
        self.path.log.commit(sessions.CloseSession(dead.owner))
        await self.settle(lambda: not self.path.held_attempts())
        for call in calls:
            call.cancel()


class PoisonTests(PathTestCase):
    terms = python_types.MappingProxyType({'patience_s': PATIENCE_S})

    async def count_crashes(self, poisons, innocents):
        await self.start(decodes=8, prefills=4, entries=2, cache_s=CACHE_S)
        ample = retries.Terms(
            max_balance=lambda: AMPLE_RETRIES,
            first_balance=lambda: AMPLE_RETRIES,
        )
        for found in self.path.services:
            found.retries = retries.RetryPolicy(
                asyncio.get_running_loop().time(), ample
            )
        calls = [
            self.stream(f'innocent {n}', self.urls[n % 2])
            for n in range(innocents)
        ]
        bad = [
            self.stream(f'poison {n}', self.urls[n % 2])
            for n in range(poisons)
        ]
        seen = await asyncio.gather(*calls, *bad)
        self.assertEqual([s.text for s in seen[:innocents] if not s.whole], [])
        self.assertFalse(any(s.whole for s in seen[innocents:]))
        await self.check_all_released()
        return self.crashes()

    def crashes(self):
        return sum(e.crashes for e in self.path.engines_by_id.values())

    async def test_one_poison_request_causes_bounded_crashes(self):
        lost = await self.count_crashes(1, 20)
        self.assertLessEqual(lost, MAX_CRASHES_BY_ONE)
        for url in self.urls * 3:
            seen = await self.stream('poison 0', url)
            self.assertEqual(seen.status, 422)
            self.assertIn('"not run"', seen.text)
        self.assertEqual(self.crashes(), lost)

    async def test_ten_poison_requests_cause_bounded_crashes(self):
        self.assertLessEqual(
            await self.count_crashes(10, 20), MAX_CRASHES_BY_TEN
        )
