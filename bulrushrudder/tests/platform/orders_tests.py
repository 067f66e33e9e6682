import asyncio
import contextlib
import json
import unittest
from unittest import mock

from bulrushrudder.control import kind_orders
from bulrushrudder.platform import calls
from bulrushrudder.platform import orders
from bulrushrudder.tests.builders import clocks
from bulrushrudder.tests.builders import runners
from bulrushrudder.utils import event_loop

VALIDITY_S = 1.0
SUSPENSION_S = 5.0
TIMEOUT_S = 20.0
ARRIVAL_S = 0.1
REPORT = json.dumps({'busy': False, 'sequence': 4}).encode()


class SuspensionTests(unittest.TestCase):
    # Guards against an order that is sent beside those of a later leader,
    # because the VM was suspended after the permission had been checked.

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        self.clocks = clocks.VmClocks(stack)

    def order(self, suspended_s):
        """Send an order; return its outcome and the calls at the runner.

        :param suspended_s: duration of a suspension once the connection
            for the order is open.
        """

        async def run():
            async with asyncio.timeout(TIMEOUT_S):
                outcome, runner = await self.send(suspended_s)
                await asyncio.sleep(ARRIVAL_S)
                return outcome, [call.method for call in runner.calls]

        return event_loop.run(run())

    async def send(self, suspended_s):
        async with contextlib.AsyncExitStack() as stack:
            runner = runners.Runner(
                lambda call: [runners.answer(REPORT, attempt='')]
            )
            await runner.start(stack)
            pool = calls.pool()
            stack.callback(pool.close)
            open_connection = pool._open

            async def open_and_suspend(server):
                connection = await open_connection(server)
                if runner.calls:
                    self.clocks.suspend(suspended_s)
                return connection

            stack.enter_context(
                mock.patch.object(pool, '_open', open_and_suspend)
            )
            now_s = asyncio.get_running_loop().time()
            order = kind_orders.Order(
                'prefill', 'core-1', 3, now_s + VALIDITY_S
            )
            client = orders.OrderClient(pool)
            outcome = await client.order(runner.server(), order)
            return outcome, runner

    def test_valid_order_is_sent(self):
        outcome, methods = self.order(0.0)
        self.assertEqual(outcome, kind_orders.OrderAccepted())
        self.assertEqual(methods, ['GET', 'POST'])

    def test_order_is_not_sent_after_suspension_while_connecting(self):
        outcome, methods = self.order(SUSPENSION_S)
        self.assertIsInstance(outcome, kind_orders.OrderRefused)
        self.assertEqual(methods, ['GET'])
