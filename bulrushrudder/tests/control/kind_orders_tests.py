import asyncio
import types
import unittest
from unittest import mock

import logbook

from bulrushrudder.control import kind_orders
from bulrushrudder.core import ids
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet

LEASE_S = 3.0


class FakeOrderClient:
    """Records orders and gives the same answer to each."""

    def __init__(self):
        self.answer = kind_orders.OrderAccepted()
        self.orders = []
        self.answered_event = asyncio.Event()
        self.answered_event.set()

    async def order(self, server, order):
        self.orders.append((server.id, order))
        await self.answered_event.wait()
        return self.answer


class FakeControl:
    """A leader with a pool of three prefill servers and a decode server.

    Its pool target is two prefill servers.
    """

    def __init__(self):
        table = servers.Servers()
        kinds = ('prefill', 'prefill', 'prefill', 'decode')
        for index, kind in enumerate(kinds):
            server = fleet.server(f's{index}', kind=kind)
            table.apply(index, servers.JoinServer(server))
        pool_targets = types.SimpleNamespace(prefills_by_model={'drafting': 2})
        self.node = types.SimpleNamespace(
            is_ready_leader=True,
            replica=types.SimpleNamespace(term=7),
            state=types.SimpleNamespace(
                servers=table, pool_targets=pool_targets
            ),
            read_index_as_leader=mock.AsyncMock(return_value=1),
        )
        self.excluded = set()

    def kind_change_s(self, model):
        return 6.0

    async def exclude(self, server, until_s):
        self.excluded.add(server.id)

    def readmit(self, server):
        self.excluded.discard(server.id)


class OrderSenderTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now_s = 100.0
        for name, value in (
            ('_now_s', lambda: self.now_s),
            ('EXCLUSION_DELAY_S', 0),
        ):
            patch = mock.patch.object(kind_orders, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.control = FakeControl()
        self.order_client = FakeOrderClient()
        self.sender = kind_orders.OrderSender(
            self.control, self.order_client, 'core-1', LEASE_S
        )

    async def step(self, seconds):
        self.now_s += seconds
        await self.sender.check()

    async def test_waits_for_lease_of_previous_holder(self):
        await self.step(0.0)
        await self.step(LEASE_S)
        self.assertEqual(self.order_client.orders, [])
        await self.step(1.0)
        ((server, order),) = self.order_client.orders
        self.assertEqual(
            (order.kind, order.holder, order.fence), ('decode', 'core-1', 7)
        )
        self.assertGreater(order.expires_s, self.now_s)
        self.assertEqual(self.control.excluded, {server})

    async def test_new_term_waits_for_lease_again(self):
        await self.step(0.0)
        await self.step(LEASE_S)
        self.control.node.is_ready_leader = False
        await self.step(1.0)
        self.control.node.is_ready_leader = True
        self.control.node.replica.term = 9
        await self.step(0.0)
        await self.step(LEASE_S)
        self.assertEqual(self.order_client.orders, [])

    async def test_sends_no_order_without_quorum(self):
        self.control.node.read_index_as_leader.return_value = None
        await self.step(0.0)
        await self.step(10.0)
        self.assertEqual(self.order_client.orders, [])
        self.assertEqual(self.control.excluded, set())

    async def test_sends_no_order_if_its_term_ends_before_quorum_round(self):
        # Guards against an order under the fencing number of a former term,
        # within the lease of the leader that came between.
        async def read_index():
            self.control.node.replica.term = 9
            return 1

        self.control.node.read_index_as_leader = read_index
        await self.step(0.0)
        await self.step(10.0)
        self.assertEqual(self.order_client.orders, [])
        self.assertEqual(self.control.excluded, set())

    async def test_sends_one_order_per_pool_at_a_time(self):
        await self.step(0.0)
        await self.step(10.0)
        await self.step(1.0)
        self.assertEqual(len(self.order_client.orders), 1)

    async def test_waits_after_a_server_has_joined_pool(self):
        await self.step(0.0)
        await self.step(LEASE_S)
        table = self.control.node.state.servers
        joined = servers.JoinServer(fleet.server('s9', kind='prefill'))
        table.apply(9, joined)
        await self.step(1.0)
        self.assertEqual(self.order_client.orders, [])
        await self.step(kind_orders.JOIN_SETTLE_S)
        self.assertEqual(len(self.order_client.orders), 1)

    async def test_pool_is_split_without_servers_of_evacuated_zone(self):
        table = self.control.node.state.servers
        moved = fleet.server('s0', kind='prefill', zone=ids.Zone('b'))
        table.apply(9, servers.JoinServer(moved))
        table.evacuate(frozenset({'b'}))
        await self.step(0.0)
        await self.step(10.0)
        self.assertEqual(self.order_client.orders, [])

    async def test_waits_after_zone_is_evacuated(self):
        # The target is that of the whole pool until the coordinators have
        # proposed that of the rest.
        await self.step(0.0)
        await self.step(LEASE_S)
        self.control.node.state.servers.evacuate(frozenset({'b'}))
        await self.step(1.0)
        self.assertEqual(self.order_client.orders, [])
        await self.step(kind_orders.JOIN_SETTLE_S)
        self.assertEqual(len(self.order_client.orders), 1)

    async def test_refused_order_readmits_server(self):
        self.order_client.answer = kind_orders.OrderRefused(
            'status 409', False
        )
        await self.step(0.0)
        await self.step(10.0)
        self.assertEqual(len(self.order_client.orders), 1)
        self.assertEqual(self.control.excluded, set())

    async def test_order_without_answer_is_retried_after_late_execution_time(
        self,
    ):
        self.order_client.answer = kind_orders.OrderOutcomeUnknown('no answer')
        await self.step(0.0)
        await self.step(10.0)
        await self.step(kind_orders.LATE_EXECUTION_S - 1.0)
        self.assertEqual(len(self.order_client.orders), 1)
        await self.step(2.0)
        self.assertEqual(len(self.order_client.orders), 2)

    async def test_first_order_follows_target_of_pool_that_has_settled(self):
        targets = self.control.node.state.pool_targets.prefills_by_model
        targets.clear()
        await self.step(0.0)
        await self.step(10.0)
        self.assertEqual(self.order_client.orders, [])
        targets['drafting'] = 2
        await self.step(0.5)
        self.assertEqual(len(self.order_client.orders), 1)

    async def test_order_expires_within_lease_after_its_quorum_round(self):
        round_s = 120.0

        async def read_index():
            self.now_s = round_s + 0.5
            return 1

        self.control.node.read_index_as_leader = read_index
        await self.step(0.0)
        await self.step(round_s - self.now_s)
        ((_, order),) = self.order_client.orders
        self.assertGreater(order.expires_s, self.now_s)
        self.assertLess(order.expires_s, round_s + LEASE_S)

    async def test_server_that_leaves_does_not_delay_orders(self):
        await self.step(0.0)
        await self.step(LEASE_S)
        table = self.control.node.state.servers
        table.apply(9, servers.LeaveServer('s0', 99))
        targets = self.control.node.state.pool_targets.prefills_by_model
        targets['drafting'] = 1
        await self.step(1.0)
        self.assertEqual(len(self.order_client.orders), 1)

    async def test_waits_after_server_has_changed_its_kind(self):
        """An order that was executed late must not be reverted at once."""
        await self.step(0.0)
        await self.step(LEASE_S)
        table = self.control.node.state.servers
        changed = fleet.server('s3', kind='prefill', incarnation=1)
        table.apply(9, servers.JoinServer(changed))
        await self.step(1.0)
        self.assertEqual(self.order_client.orders, [])

    # Guard against an order that is cut off or sent as its process stops.

    async def test_stop_waits_for_answer_to_order_in_flight(self):
        handler = logbook.TestHandler()
        self.order_client.answered_event.clear()
        await self.step(0.0)
        self.now_s += 10.0
        with (
            handler.applicationbound(),
            mock.patch.object(kind_orders, 'CHECK_INTERVAL_S', 0.01),
        ):
            running = asyncio.create_task(self.sender.run())
            await asyncio.sleep(0.1)
            self.assertEqual(len(self.order_client.orders), 1)
            self.sender.stop()
            await asyncio.sleep(0.05)
            self.assertFalse(running.done())
            self.order_client.answered_event.set()
            async with asyncio.timeout(1.0):
                await running
        ((outcome, event),) = [
            (record.extra['fields']['outcome'], record.message)
            for record in handler.records
        ]
        self.assertEqual((outcome, event), ('taken', 'kind change ordered'))

    async def test_stop_before_order_is_sent_readmits_server(self):
        await self.step(0.0)
        self.now_s += 10.0
        with mock.patch.object(kind_orders, 'EXCLUSION_DELAY_S', 0.1):
            checking = asyncio.create_task(self.sender.check())
            await asyncio.sleep(0.05)
            self.assertEqual(len(self.control.excluded), 1)
            self.sender.stop()
            await checking
        await self.step(10.0)
        self.assertEqual(self.order_client.orders, [])
        self.assertEqual(self.control.excluded, set())
