import asyncio
import unittest

from bulrushrudder.utils import reply_queue

MAX_BYTES = 8 * reply_queue.PIECE_BYTES
FULL = MAX_BYTES + 1


class ReplyQueueTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.queue = reply_queue.ReplyQueue(MAX_BYTES)
        self.given_up = []
        for name, size in (('first', 10), ('second', 30), ('third', 20)):
            self.update(name, size)

    def update(self, name, size):
        self.queue.update(name, size, lambda: self.given_up.append(name))

    async def start_waiting(self, *names):
        waits = [asyncio.create_task(self.queue.wait(name)) for name in names]
        await asyncio.sleep(0)
        return waits

    def test_reserve_is_kept_for_the_oldest_answer(self):
        held = MAX_BYTES - self.queue.reserve
        self.assertTrue(self.queue.admits('second', held))
        self.assertFalse(self.queue.admits('second', held + 1))
        self.assertTrue(self.queue.admits('first', MAX_BYTES))
        self.assertFalse(self.queue.admits('first', FULL))

    async def test_waiting_answers_go_on_in_order_as_far_as_there_is_room(
        self,
    ):
        waits = await self.start_waiting('first', 'second', 'third')
        self.queue.wake(FULL)
        await asyncio.sleep(0)
        self.assertFalse(any(wait.done() for wait in waits))
        room = self.queue.reserve + reply_queue.PIECE_BYTES
        self.queue.wake(MAX_BYTES - room)
        await asyncio.gather(*waits[:2])
        self.assertFalse(waits[2].done())
        self.queue.remove('third', FULL)
        await waits[2]
        self.assertTrue(self.queue.admits('third', FULL))

    async def test_next_answer_goes_on_when_the_oldest_ends(self):
        (wait,) = await self.start_waiting('second')
        self.queue.remove('first', MAX_BYTES)
        await wait

    # Guards against answers that all wait for each other.

    async def test_largest_answer_is_given_up_if_the_oldest_waits_long(self):
        (wait,) = await self.start_waiting('first')
        now_s = asyncio.get_running_loop().time()
        self.queue.check(FULL, now_s)
        self.assertEqual(self.given_up, [])
        self.queue.check(FULL, now_s + 2 * reply_queue.MAX_WAIT_S)
        self.assertEqual(self.given_up, ['second'])
        self.queue.wake(0)
        await wait
