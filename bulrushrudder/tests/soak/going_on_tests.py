import io
import socket
import struct
import unittest

from bulrushrudder.tests.builders import soak_machines
from bulrushrudder.tests.soak import going_on
from bulrushrudder.tests.soak import http
from bulrushrudder.tests.soak import manners
from bulrushrudder.tests.soak import record

OK = http.head('HTTP/1.1 200 OK', [('Content-Length', 2)]) + b'ok'
LAST = (
    http.head(
        'HTTP/1.1 200 OK', [('Content-Length', 2), ('Connection', 'close')]
    )
    + b'ok'
)
GOES_ON = 0.9
LEAVES = 0.1


async def answer(writer, number):
    writer.write(OK)
    return True


async def answer_last(writer, number):
    writer.write(LAST)
    return True


async def answer_once(writer, number):
    if number == 0:
        writer.write(OK)
    return number == 0


async def answer_half(writer, number):
    writer.write(OK[:-1])
    return False


async def reset(writer, number):
    at_once = struct.pack('ii', 1, 0)
    opened = writer.get_extra_info('socket')
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, at_once)
    writer.transport.abort()
    return False


class ClientTests(unittest.IsolatedAsyncioTestCase):
    async def start(self, answers, share=GOES_ON):
        self.fleet = await self.enterAsyncContext(
            soak_machines.running(answers, io.StringIO())
        )
        self.client = going_on.Client(
            self.fleet, soak_machines.Dice(share), lambda: ['/book/1']
        )
        self.addCleanup(self.client.close)

    async def play(self, manner):
        """Play a manner on the connection, and return what was seen."""
        if not self.client.is_open():
            await self.client.open()
        before = len(self.fleet.record.sent)
        await self.client.play(manner)
        return self.fleet.record.sent[before:]

    async def test_body_in_chunks_arrives_as_a_whole(self):
        await self.start(answer)
        (sent,) = await self.play(manners.InChunks((0.0, 0.05)))
        ((headers, body),) = self.fleet.edges[0].got
        self.assertEqual(headers['transfer-encoding'], 'chunked')
        self.assertEqual(body, record.filler(sent.attempt, 1024))
        self.assertGreater(sent.last_byte_s - sent.sent_s, 0.04)
        self.assertTrue(sent.whole)

    async def test_client_goes_on_after_an_answer_that_says_close(self):
        await self.start(answer_last)
        await self.play(manners.AtOnce())
        self.assertTrue(self.client.is_open())

    async def test_client_that_leaves_closes_after_such_an_answer(self):
        await self.start(answer_last, LEAVES)
        await self.play(manners.AtOnce())
        self.assertFalse(self.client.is_open())

    async def test_missing_second_answer_is_closed_and_due_from_the_first(
        self,
    ):
        await self.start(answer_once)
        first, second = await self.play(manners.Pipelined())
        self.assertIs(first.ending, record.Ending.ANSWERED)
        self.assertIs(second.ending, record.Ending.CLOSED)
        self.assertGreaterEqual(second.due_s, first.ended_s)

    async def test_calls_behind_a_missing_answer_end_with_it(self):
        await self.start(answer_half)
        first, second = await self.play(manners.Pipelined())
        self.assertEqual((first.status, first.whole), (200, False))
        self.assertIs(second.ending, record.Ending.CLOSED)
        self.assertGreaterEqual(second.due_s, first.ended_s)

    async def test_reset_leaves_a_call_without_an_answer(self):
        await self.start(reset)
        (sent,) = await self.play(manners.AtOnce())
        self.assertIs(sent.ending, record.Ending.RESET)

    async def test_half_of_a_body_is_not_sent_as_a_whole(self):
        await self.start(answer)
        (sent,) = await self.play(manners.HalfSent(0.05))
        self.assertIsNone(sent.last_byte_s)
        self.assertFalse(self.client.is_open())
        self.assertEqual(self.fleet.edges[0].got, [])

    async def test_refused_client_chooses_a_machine_again(self):
        await self.start(answer)
        self.fleet.edges[0].listener.close()
        self.fleet.edges[0].address = lambda name: ('127.0.0.1', 1)
        self.assertFalse(await self.client.open())
