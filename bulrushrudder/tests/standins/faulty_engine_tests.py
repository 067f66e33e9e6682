import asyncio
import random
import unittest

from bulrushrudder.standins import engine
from bulrushrudder.standins import faulty_engine

POISONED_ORDER = {'prompt': 'poison 1', 'attempt': 'a1', 'max_tokens': 4}


class FaultyEngineTests(unittest.IsolatedAsyncioTestCase):
    async def test_attempt_from_before_crash_does_not_crash_engine_again(self):
        crashing_engine = faulty_engine.FaultyEngine(
            random.Random(1), token_s=0.0
        )
        held = engine.HeldAttempt('vm1', 1, asyncio.Event())
        crashing_engine.held_by_attempt['a1'] = held
        running = asyncio.create_task(
            crashing_engine._stream(None, POISONED_ORDER, held)
        )
        crashing_engine.crash()
        await running
        self.assertEqual(crashing_engine.crashes, 1)
