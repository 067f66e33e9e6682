import asyncio
import unittest

import aiohttp
import logbook

from bulrushrudder.events import catalogue
from bulrushrudder.lifecycle import shutdown
from bulrushrudder.platform import entry_api
from bulrushrudder.tests.builders import platform
from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import scripted_engines

TIMEOUT_S = 20.0
PREFILL_REPLY = b'{"kv_handle":"3fa09c41b7d5","token_count":1460,"version":1}'
OTHER_ATTEMPT = '77aa09c41b7d5e10'
# Headers of a call whose answer takes about 9 s by estimate.
LONG_ANSWER_HEADERS = {'Token-Usage': '1460,2000', 'Length-Hint': '2000'}


def portal_route(kind, **changes):
    """Return a route to the plain service."""
    return {
        **platform.ROUTE,
        'name': f'r-{kind}',
        'path_prefix': f'/{kind}/',
        'route_type': kind,
        'timeout_ms': 800,
        'target_latency_ms': 125,
        'service': 'portal',
        'resumable': False,
        **changes,
    }


def configuration():
    content = platform.configuration()
    content['routes'] += [
        portal_route('idempotent'),
        portal_route('non_idempotent', max_attempts=1),
        portal_route('idempotent', name='r-o', path_prefix='/o/', public=True),
        {**platform.ROUTE, 'name': 'r-once', 'path_prefix': '/once/'},
    ]
    content['routes'][-1]['resumable'] = False
    return content


def engine(call):
    """Prefill and decode without faults."""
    if call.headers.get('Stage') == 'prefill':
        return [runners.answer(PREFILL_REPLY)]
    first = int(call.headers.get('Last-Event-Id', 0)) + 1
    return [runners.stream(first, 5)]


def cut(call):
    """Close the connection within the third event of a stream."""
    if call.headers.get('Stage') == 'prefill':
        return [runners.answer(PREFILL_REPLY)]
    return [runners.stream(1, 5)[:-95], close]


async def close(writer):
    writer.close()


async def stall(writer):
    await asyncio.sleep(TIMEOUT_S)


def logged_events(logs):
    """Return the catalogue Events that were logged."""
    return [record.extra.get('event') for record in logs.records]


class PathTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        manager = platform_fleet.running()
        self.fleet = await self.enterAsyncContext(manager)

    async def configure(self):
        self.assertEqual(
            await self.fleet.put_configuration(configuration()), 200
        )
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version == 7
        )

    async def add_portal_runner(self, reply, server_id='i-p', **changes):
        return await self.fleet.add_runner(
            reply, server_id, service='portal', stage=None, slots=6, **changes
        )

    async def text(self, path, **options):
        """Call a path; return the status and body of the answer."""
        async with asyncio.timeout(TIMEOUT_S):
            async with self.fleet.call(path, **options) as response:
                return response.status, await response.read()

    # Configuration.

    async def test_not_ready_before_first_configuration(self):
        self.assertEqual(await self.fleet.ready(), 503)
        status, _ = await self.text('/drafts/1')
        self.assertEqual(status, 503)
        self.assertEqual((await self.fleet.get_configuration())[0], 503)
        await self.configure()
        self.assertEqual(await self.fleet.ready(), 200)

    async def test_highest_configuration_version_is_in_force(self):
        await self.configure()
        sent = platform.encoded(configuration())
        self.assertEqual(await self.fleet.get_configuration(), (200, sent))
        for version in (7, 3):
            older = {**configuration(), 'version': version, 'tenants': []}
            self.assertEqual(await self.fleet.put_configuration(older), 200)
            self.assertEqual(await self.fleet.get_configuration(), (200, sent))
        broken = {**configuration(), 'version': 8, 'services': []}
        self.assertEqual(await self.fleet.put_configuration(broken), 400)
        newer = {**configuration(), 'version': 9}
        self.assertEqual(await self.fleet.put_configuration(newer), 200)
        returned = await self.fleet.get_configuration()
        self.assertEqual(returned, (200, platform.encoded(newer)))

    async def test_checks_route_and_key(self):
        await self.configure()
        await self.add_portal_runner(lambda call: [runners.answer(b'mine')])
        wrong = {'Authorization': 'Bearer nobody'}
        for path, headers, expected in (
            ('/nowhere', {}, 404),
            ('/idempotent/1', {'Host': 'two.example'}, 404),
            ('/idempotent/1', wrong, 401),
            ('/o/1', wrong, 200),
            ('/idempotent/1', {}, 200),
        ):
            with self.subTest(f'{path} {headers}'):
                status, _ = await self.text(path, headers=headers)
                self.assertEqual(status, expected)

    # Guards against a promise ("not run") that the runner did not give.

    async def test_status_without_not_executed_is_no_promise(self):
        await self.configure()
        for status in (408, 429, 503):
            with self.subTest(status):
                failure = runners.answer(b'mine', status=f'{status} Failure')
                runner = await self.add_portal_runner(
                    lambda call, failure=failure: [failure], f'i-{status}'
                )
                got, body = await self.text('/non_idempotent/1')
                self.assertEqual(got, 502)
                self.assertNotEqual(body, b'mine')
                self.assertEqual(len(runner.calls), 1)
                await self.fleet.send_departure(
                    f'i-{status}', platform.HEARTBEAT['born']
                )

    async def test_failure_of_repeatable_call_is_returned_as_it_is(self):
        await self.configure()
        failure = runners.answer(b'mine', status='503 Failure')
        await self.add_portal_runner(lambda call: [failure])
        answer = await self.text('/idempotent/1')
        self.assertEqual(answer, (503, b'mine'))

    # Limits on callers.

    async def configure_limits(self, **limits):
        content = configuration()
        content['limits'] |= limits
        content['version'] = 8
        self.assertEqual(await self.fleet.put_configuration(content), 200)
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version == 8
        )
        await self.add_portal_runner(lambda call: [runners.answer(b'mine')])

    async def test_refuses_headers_and_bodies_above_limits(self):
        await self.configure_limits(max_header_bytes=2000, max_body_bytes=50)

        async def chunks():
            yield b'x' * 51

        for expected, options in (
            (200, {'body': b'x' * 50}),
            (413, {'body': b'x' * 51}),
            (413, {'body': chunks()}),
            (200, {'headers': {'X-Long': 'x' * 1000}}),
            (431, {'headers': {'X-Long': 'x' * 2000}}),
        ):
            with self.subTest(expected):
                status, _ = await self.text('/idempotent/1', **options)
                self.assertEqual(status, expected)

    async def test_accepts_long_header_within_limit(self):
        await self.configure_limits(max_header_bytes=20000)
        status, _ = await self.text(
            '/idempotent/1', headers={'X-Long': 'x' * 15000}
        )
        self.assertEqual(status, 200)

    async def test_closes_connection_that_is_idle_or_sends_no_header(self):
        await self.configure_limits(idle_timeout_ms=600, header_timeout_ms=300)
        idle_s = await self.fleet.seconds_until_close('/idempotent/1')
        self.assertGreater(idle_s, 0.5)
        self.assertLess(idle_s, 1.5)
        header_s = await self.fleet.seconds_until_close(None)
        self.assertGreater(header_s, 0.2)
        self.assertLess(header_s, 1.0)

    # Plain services.

    async def test_forwards_call_unchanged(self):
        await self.configure()
        runner = await self.add_portal_runner(
            lambda call: [runners.answer(b'mine')]
        )
        async with self.fleet.call(
            '/non_idempotent/a%20b?c=%2F', body=b'abc'
        ) as response:
            self.assertEqual(await response.read(), b'mine')
            signature = response.headers['Server-Signature']
        self.assertEqual(signature, runners.SIGNATURE)
        (call,) = runner.calls
        self.assertEqual(call.target, '/non_idempotent/a%20b?c=%2F')
        self.assertEqual(call.body, b'abc')
        self.assertEqual(call.headers['Tenant'], 'acme')
        self.assertEqual(call.headers['Expect-Instance'], 'i-p')
        self.assertNotIn('Authorization', call.headers)

    async def test_non_idempotent_call_is_not_retried(self):
        await self.configure()
        runner = await self.add_portal_runner(lambda call: [runners.reset])
        status, _ = await self.text('/non_idempotent/1')
        self.assertEqual(status, 502)
        self.assertEqual(len(runner.calls), 1)

    async def test_non_idempotent_call_is_retried_if_not_executed(self):
        await self.configure()
        first = await self.add_portal_runner(
            lambda call: [runners.not_run()], 'i-a'
        )
        await self.add_portal_runner(
            lambda call: [runners.answer(b'mine')], 'i-b', zone='b'
        )
        status, body = await self.text('/non_idempotent/1')
        self.assertEqual((status, body), (200, b'mine'))
        self.assertEqual(len(first.calls), 1)

    async def test_idempotent_call_is_retried_on_another_runner(self):
        await self.configure()
        failing = runners.answer(b'no', status='500 Error')
        await self.add_portal_runner(lambda call: [failing], 'i-a')
        await self.add_portal_runner(
            lambda call: [runners.answer(b'mine')], 'i-b', zone='b'
        )
        answer = await self.text('/idempotent/1', method='GET', body=None)
        self.assertEqual(answer, (200, b'mine'))

    async def test_answer_to_another_call_is_not_returned(self):
        await self.configure()
        other = runners.answer(b'theirs', attempt=OTHER_ATTEMPT)
        await self.add_portal_runner(lambda call: [other])
        status, body = await self.text('/non_idempotent/1')
        self.assertEqual(status, 502)
        self.assertNotIn(b'theirs', body)

    async def test_silent_runner_gives_504_after_route_timeout(self):
        await self.configure()

        async def pause(writer):
            await asyncio.sleep(5.0)

        await self.add_portal_runner(lambda call: [pause])
        status, _ = await self.text('/non_idempotent/1')
        self.assertEqual(status, 504)

    async def test_no_runner_gives_503_with_retry_after(self):
        await self.configure()
        async with self.fleet.call('/non_idempotent/1') as response:
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers['Retry-After']), 0)

    # Engines.

    async def test_prefills_then_decodes_on_another_runner(self):
        await self.configure()
        prefill = await self.fleet.add_runner(engine, 'i-p', stage='prefill')
        decode = await self.fleet.add_runner(engine, 'i-d', zone='b')
        whole = b''.join(runners.event(n) for n in range(1, 6))
        self.assertEqual(await self.text('/drafts/1'), (200, whole))
        self.assertEqual(len(prefill.calls), 1)
        source = f'127.0.0.1:{prefill.port}/{runners.HANDLE}'
        (call,) = decode.calls
        self.assertEqual(call.headers['Kv-Source'], source)

    async def test_decode_runner_prefills_without_prefill_runner(self):
        await self.configure()
        decode = await self.fleet.add_runner(engine, 'i-d')
        status, _ = await self.text('/drafts/1')
        self.assertEqual(status, 200)
        self.assertNotIn('Kv-Source', decode.calls[0].headers)

    # Guards against runners that count as silent in the middle of the test,
    # and against the loss of calls to a process that stood still.
    async def test_resumable_stream_is_completed_by_another_runner(self):
        await self.configure()
        await self.fleet.add_lasting_runner(engine, 'i-p', stage='prefill')
        broken = await self.fleet.add_lasting_runner(cut, 'i-d', zone='a')
        await self.fleet.add_lasting_runner(engine, 'i-e', zone='b')
        whole = b''.join(runners.event(n) for n in range(1, 6))
        for _ in range(4):
            self.assertEqual(await self.text('/drafts/1'), (200, whole))
        self.assertGreater(len(broken.calls), 0)

    async def test_stream_that_breaks_off_late_is_completed(self):
        # A client waits 3.6 s for the first event, and as long between any.
        async def pause(writer):
            await asyncio.sleep(1.6)

        def slow_and_cut(call):
            if call.headers.get('Stage') == 'prefill':
                return [runners.answer(PREFILL_REPLY)]
            first, second, third = (
                scripted_engines.chunk(runners.event(n)) for n in (1, 2, 3)
            )
            head = runners.stream_head()
            return [head + first, pause, second, pause, third[:9], close]

        await self.configure()
        await self.fleet.add_runner(engine, 'i-a', stage='prefill')
        await self.fleet.add_runner(slow_and_cut, 'i-b')
        running = asyncio.create_task(self.text('/drafts/1'))
        await asyncio.sleep(1.0)
        await self.fleet.add_runner(engine, 'i-c')
        status, body = await running
        self.assertEqual((status, body.count(b'data:')), (200, 5))

    async def test_stream_that_is_not_resumable_is_aborted_and_logged(self):
        await self.configure()
        await self.fleet.add_runner(engine, 'i-p', stage='prefill')
        await self.fleet.add_runner(cut, 'i-d')
        logs = logbook.TestHandler()
        with logs.applicationbound():
            with self.assertRaises(aiohttp.ClientPayloadError):
                await self.text('/once/1')
            await self.fleet.wait_until(
                lambda: catalogue.REQUEST_FAILED in logged_events(logs)
            )
        self.assertNotIn(catalogue.CALLER_GONE, logged_events(logs))

    async def test_logs_client_that_disconnects(self):
        await self.configure()
        await self.fleet.add_runner(engine, 'i-p', stage='prefill')
        decode = await self.fleet.add_runner(
            lambda call: [runners.stream(1, 5)[:-95], stall], 'i-d'
        )
        logs = logbook.TestHandler()
        with logs.applicationbound():
            async with self.fleet.call('/drafts/1') as response:
                await response.content.readany()
                response.close()
            await self.fleet.wait_until(
                lambda: catalogue.CALLER_GONE in logged_events(logs)
            )
        self.assertEqual(len(decode.calls), 1)

    async def test_refuses_client_retry_without_enough_time(self):
        await self.configure()
        decode = await self.fleet.add_runner(engine, 'i-d')
        for options, status, calls in (
            ({'Deadline-Ms': '5000', **LONG_ANSWER_HEADERS}, 200, 1),
            ({'Deadline-Ms': '14000', **LONG_ANSWER_HEADERS}, 200, 2),
            ({'Deadline-Ms': '5000', **LONG_ANSWER_HEADERS}, 503, 2),
            ({'Deadline-Ms': '5000'}, 200, 3),
        ):
            async with self.fleet.call(
                '/drafts/1', headers=options
            ) as response:
                await response.read()
                self.assertEqual(response.status, status)
            self.assertEqual(len(decode.calls), calls)

    # Changes of runners.

    async def test_draining_runner_gets_no_calls(self):
        await self.configure()
        runner = await self.add_portal_runner(
            lambda call: [runners.answer(b'mine')]
        )
        status = await self.fleet.send_heartbeat(
            runner, 'i-p', service='portal', stage=None, state='draining'
        )
        self.assertEqual(status, 200)
        await self.fleet.wait_until(
            lambda: not self.fleet.entry.view.state.servers.by_id
        )
        late = await self.fleet.send_heartbeat(
            runner, 'i-p', service='portal', stage=None, sequence=1
        )
        self.assertEqual(late, 200)
        status, _ = await self.text('/non_idempotent/1')
        self.assertEqual(status, 503)
        self.assertEqual(runner.calls, [])

    async def test_invalid_heartbeat_changes_nothing(self):
        await self.configure()
        runner = await self.add_portal_runner(
            lambda call: [runners.answer(b'mine')]
        )
        for changes in ({'service': 'nobody'}, {'slots': 'six'}):
            status = await self.fleet.send_heartbeat(runner, 'i-p', **changes)
            self.assertEqual(status, 400)
        self.assertEqual(await self.text('/o/1'), (200, b'mine'))

    # Shutdown.

    async def test_stopping_process_refuses_streams_after_cutoff(self):
        await self.configure()
        await self.add_portal_runner(lambda call: [runners.answer(b'mine')])
        await self.fleet.add_runner(engine, 'i-d')
        services = self.fleet.entry.services
        now_s = asyncio.get_running_loop().time()
        services.begin_shutdown(shutdown.plan(now_s, 2.5, 8.0))
        self.assertEqual((await self.text('/drafts/1'))[0], 200)
        requested_s = now_s - entry_api.STREAM_CUTOFF_AFTER_STOP_S
        services.begin_shutdown(shutdown.plan(requested_s, 2.5, 8.0))
        self.assertEqual(await self.fleet.ready(), 503)
        self.assertEqual((await self.text('/drafts/1'))[0], 503)
        async with self.fleet.call('/o/1') as response:
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers['Connection'], 'close')
