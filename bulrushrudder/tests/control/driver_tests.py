import types
import unittest

from returns import result

from bulrushrudder.consensus import events
from bulrushrudder.control import driver


class RecordingReplica:
    """A replica that records the events that it handles."""

    def __init__(self):
        self.handled = []

    def handle(self, event, now_s):
        self.handled.append(event)
        return []


class OrderTests(unittest.IsolatedAsyncioTestCase):
    async def test_messages_are_handled_before_tick_and_proposals_after_it(
        self,
    ):
        replica = RecordingReplica()
        proposed = events.Proposed(1, (b'x',))
        store = types.SimpleNamespace(
            save=lambda batch: result.Success(None),
            reserve=lambda size: result.Success(None),
        )
        driven = driver.Driver(
            replica, store, lambda: proposed, None, None, None
        )
        received = events.Received(None)
        driven.put(received)
        driven._step()
        self.assertEqual(
            replica.handled, [received, events.Ticked(), proposed]
        )
