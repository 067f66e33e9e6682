import asyncio
import random
import unittest

from bulrushrudder.standins import engine
from bulrushrudder.standins import faulty_engine

ORDER = {'prompt': 'poison 1', 'attempt': 'a1', 'max_tokens': 4}


class FaultyEngineTests(unittest.IsolatedAsyncioTestCase):
    async def test_what_ran_before_a_crash_does_not_crash_the_next_run(self):
        found = faulty_engine.FaultyEngine(random.Random(1), token_s=0.0)
        held = engine.Held('vm1', 1, asyncio.Event())
        found.held_by_attempt['a1'] = held
        running = asyncio.create_task(found._stream(None, ORDER, held))
        found.crash()
        await running
        self.assertEqual(found.crashes, 1)
