import asyncio
import contextlib
import dataclasses
import unittest

import logbook
from returns import result

from bulrushrudder.platform import control_api
from bulrushrudder.storage import errors
from bulrushrudder.tests.builders import control_fleet
from bulrushrudder.tests.builders import platform

CONFIG_PATH = '/bulrushrudder/config'
# Longer than listeners give handlers when they are closed.
DELAY_S = 1.2
MAX_STOP_S = 3.0
MAX_FAILED_STOP_S = 1.0
CLIENTS = 8
START_TIMEOUT_S = 20.0
PAUSE_STEP_S = 0.01


def put(version):
    """Return the bytes of a call that puts a configuration in force."""
    content = {**platform.configuration(), 'version': version}
    return control_fleet.request('PUT', CONFIG_PATH, platform.encoded(content))


def heartbeat():
    return control_fleet.request(
        'PUT', '/bulrushrudder/instances/i-1', platform.heartbeat()
    )


def get():
    return control_fleet.request('GET', CONFIG_PATH)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a client got; status 0 without a whole answer."""

    status: int
    retry_after: str | None = None
    connection: str | None = None


CUT_OFF = Answer(0)


def names(handler):
    return [record.extra['event'].name for record in handler.records]


async def read_answer(reader):
    """Return the Answer to a request that was sent."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        status, headers, _ = await control_fleet.read_answer(reader)
        return Answer(
            status, headers.get('Retry-After'), headers.get('Connection')
        )
    return CUT_OFF


async def call(member, sent):
    """Send a request on a connection of its own; return the Answer."""
    reader, writer = await member.connect()
    with contextlib.suppress(ConnectionError):
        writer.write(sent)
        answer = await read_answer(reader)
    writer.close()
    return answer


class ControlStopTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(
            control_fleet.running(control_api.Interface())
        )
        answer = await call(self.fleet.leader, put(1))
        self.assertEqual(answer.status, 200)

    async def adopted(self):
        """Return the version in force at the leader."""
        leader = await self.fleet.wait_for_leader()
        documents = leader.node.state.documents
        return documents.in_force(control_api._PRODUCTION).version

    async def stop_with(self, member, *sent):
        """Stop a process with requests in flight.

        :returns: the statuses of the answers, and the seconds of the stop.
        """
        calls = [asyncio.create_task(call(member, each)) for each in sent]
        await asyncio.sleep(0.05)
        self.assertFalse(any(each.done() for each in calls))
        took_s = await member.stop()
        answers = await asyncio.gather(*calls)
        return [answer.status for answer in answers], took_s

    # Guard against requests that are cut off because the log stops
    # before the requests that wait for it are answered.

    async def test_follower_answers_requests_in_flight_before_it_stops(self):
        self.fleet.leader.delay_messages(DELAY_S)
        for follower, sent in zip(
            self.fleet.followers, (put(2), heartbeat()), strict=True
        ):
            statuses, took_s = await self.stop_with(follower, sent)
            self.assertEqual(statuses, [200])
            self.assertLess(took_s, MAX_STOP_S)
        self.assertEqual(await self.adopted(), 2)

    async def test_follower_answers_reads_in_flight_before_it_stops(self):
        follower = self.fleet.followers[0]
        self.fleet.leader.delay_messages(0.3)
        statuses, took_s = await self.stop_with(follower, get())
        self.assertEqual(statuses, [200])
        self.assertLess(took_s, MAX_STOP_S)

    async def test_leader_answers_requests_in_flight_before_it_stops(self):
        leader = self.fleet.leader
        leader.delay_messages(DELAY_S)
        statuses, took_s = await self.stop_with(leader, put(2), get())
        self.assertEqual(statuses, [200, 200])
        self.assertEqual(await self.adopted(), 2)
        self.assertLess(took_s, MAX_STOP_S)

    async def test_request_without_quorum_gets_an_answer(self):
        leader = self.fleet.leader
        leader.delay_messages(60.0)
        statuses, took_s = await self.stop_with(leader, put(2), heartbeat())
        self.assertEqual(statuses, [503, 503])
        self.assertLess(took_s, MAX_STOP_S)

    async def test_new_requests_are_refused_while_others_are_finished(self):
        follower = self.fleet.followers[0]
        reader, writer = await follower.connect()
        writer.write(get())
        self.assertEqual((await read_answer(reader)).status, 200)
        self.fleet.leader.delay_messages(DELAY_S)
        stopping = asyncio.create_task(self.stop_with(follower, put(2)))
        await asyncio.sleep(0.2)
        writer.write(put(3))
        refused = await read_answer(reader)
        writer.close()
        self.assertEqual(refused, Answer(503, '0', 'close'))
        statuses, _ = await stopping
        self.assertEqual(statuses, [200])
        self.assertEqual(await self.adopted(), 2)

    async def test_requests_that_arrive_as_the_listener_closes_are_refused(
        self,
    ):
        follower = self.fleet.followers[0]
        connections = [await follower.connect() for _ in range(CLIENTS)]
        for reader, writer in connections:
            writer.write(get())
            self.assertEqual((await read_answer(reader)).status, 200)

        async def send_all():
            """Send requests as the last step of the stop finishes."""
            await asyncio.sleep(0.1)
            for _, writer in connections:
                writer.write(get())

        follower.node.announce_stop = send_all
        await follower.stop()
        for reader, writer in connections:
            self.assertEqual((await read_answer(reader)).status, 503)
            writer.close()

    async def test_slow_upload_is_answered_and_holds_up_no_stop(self):
        follower = self.fleet.followers[0]
        reader, writer = await follower.connect()
        writer.write(put(2)[:-10])
        await asyncio.sleep(0.05)
        took_s = await follower.stop()
        self.assertEqual((await read_answer(reader)).status, 503)
        writer.close()
        self.assertLess(took_s, MAX_STOP_S)

    async def test_upload_that_ends_in_time_takes_effect(self):
        follower = self.fleet.followers[0]
        reader, writer = await follower.connect()
        sent = put(2)
        writer.write(sent[:-10])
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(follower.stop())
        await asyncio.sleep(0.1)
        writer.write(sent[-10:])
        self.assertEqual((await read_answer(reader)).status, 200)
        writer.close()
        await stopping
        self.assertEqual(await self.adopted(), 2)

    async def go_on(self, member, answers, pause_s):
        """Send requests on kept and new connections until refused.

        :param pause_s: seconds between an answer and the next request.
        """
        while True:
            try:
                reader, writer = await member.connect()
            except ConnectionRefusedError:
                return
            answer = Answer(200)
            while answer.status == 200 and answer.connection != 'close':
                with contextlib.suppress(ConnectionError):
                    writer.write(heartbeat())
                answer = await read_answer(reader)
                answers.append(answer)
                await asyncio.sleep(pause_s)
            writer.close()

    async def test_stop_ends_and_answers_while_clients_go_on(self):
        for member in (self.fleet.leader, self.fleet.followers[0]):
            answers = []
            clients = [
                asyncio.create_task(
                    self.go_on(member, answers, client * PAUSE_STEP_S)
                )
                for client in range(CLIENTS)
            ]
            async with asyncio.timeout(START_TIMEOUT_S):
                while len(answers) <= 2 * CLIENTS:
                    await asyncio.sleep(0.02)
            took_s = await member.stop()
            await asyncio.gather(*clients)
            self.assertEqual(answers.count(CUT_OFF), 0, len(answers))
            self.assertLess(took_s, MAX_STOP_S)

    async def test_all_processes_stop_one_after_the_other(self):
        members = [*self.fleet.followers, self.fleet.leader]
        for number, member in enumerate(members, 2):
            answered = asyncio.create_task(call(member, put(number)))
            took_s = await member.stop()
            self.assertIn((await answered).status, (200, 503))
            self.assertLess(took_s, MAX_STOP_S)

    async def test_further_signals_change_nothing(self):
        follower = self.fleet.followers[0]
        self.fleet.leader.delay_messages(DELAY_S)
        stopping = asyncio.create_task(self.stop_with(follower, put(2)))
        await asyncio.sleep(0.2)
        follower.stopping.reload()
        follower.stopping.request()
        statuses, took_s = await stopping
        self.assertEqual(statuses, [200])
        self.assertLess(took_s, MAX_STOP_S)

    # Guards against a process whose disk has failed and that waits for a
    # successor it can no longer ask.

    async def test_failed_disk_ends_process_soon_and_answers(self):
        leader = self.fleet.leader
        leader.node._driver._store.save = lambda batch: result.Failure(
            errors.SyncFailed('injected')
        )
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        answer = await call(leader, put(2))
        await leader.task
        self.assertEqual(leader.exit_code, 1)
        self.assertEqual(answer.status, 503)
        self.assertLess(loop.time() - began_s, MAX_FAILED_STOP_S)

    # Guards against a log event that claims the end too early.

    async def test_stopped_is_logged_last(self):
        handler = logbook.TestHandler()
        follower = self.fleet.followers[0]
        self.fleet.leader.delay_messages(DELAY_S)
        answered = asyncio.create_task(call(follower, put(2)))
        await asyncio.sleep(0.05)
        follower.stopping.request()
        with handler.applicationbound():
            while 'control stopped' not in names(handler):
                await asyncio.sleep(0.01)
            self.assertTrue(answered.done())
            with self.assertRaises(ConnectionRefusedError):
                await follower.connect()
        await follower.task
