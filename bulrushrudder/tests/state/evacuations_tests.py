import unittest

from bulrushrudder.core import ids
from bulrushrudder.protocol import codec
from bulrushrudder.state import evacuations
from bulrushrudder.state import machine
from bulrushrudder.state import pool_targets
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet

ZONE_A = ids.Zone('a')


def state_of(*commands):
    """Return a State after commands."""
    state = machine.State()
    for index, command in enumerate(commands, 1):
        state.apply(index, command)
    return state


def served_by(state):
    return sorted(state.servers.by_served['drafting'])


class EvacuationsTests(unittest.TestCase):
    """Guards against work for servers of a zone that was evacuated."""

    def setUp(self):
        self.state = state_of(
            servers.JoinServer(fleet.server('d-a')),
            servers.JoinServer(fleet.server('d-b', zone=ids.Zone('b'))),
            evacuations.evacuate(ZONE_A),
        )

    def test_servers_of_evacuated_zone_are_known_but_get_no_work(self):
        self.assertEqual(served_by(self.state), ['d-b'])
        self.assertEqual(sorted(self.state.servers.by_id), ['d-a', 'd-b'])
        server = self.state.servers.by_id['d-a']
        self.assertFalse(self.state.servers.takes_requests(server))

    def test_server_that_joins_evacuated_zone_gets_no_work(self):
        version = self.state.servers.versions_by_served['drafting']
        self.state.apply(4, servers.JoinServer(fleet.server('d-c')))
        self.assertEqual(served_by(self.state), ['d-b'])
        self.assertGreater(
            self.state.servers.versions_by_served['drafting'], version
        )

    def test_server_that_leaves_evacuated_zone_is_forgotten(self):
        self.state.apply(4, servers.LeaveServer(ids.ServerId('d-a'), 1))
        self.state.apply(5, evacuations.restore(ZONE_A))
        self.assertEqual(served_by(self.state), ['d-b'])

    def test_restored_zone_gets_work_and_index_of_its_restoration(self):
        self.state.apply(4, evacuations.restore(ZONE_A))
        self.assertEqual(served_by(self.state), ['d-a', 'd-b'])
        table = self.state.evacuations
        self.assertEqual(table.restored_index_by_zone, {ZONE_A: 4})
        repeated = self.state.apply(5, evacuations.restore(ZONE_A))
        self.assertTrue(repeated.repeated)
        self.assertEqual(table.restored_index_by_zone, {ZONE_A: 4})

    # Guards against a pool that falls onto servers which became cold while
    # their zone was evacuated and have not said so yet.
    def test_restored_zone_counts_as_cold_once(self):
        cold = fleet.server('d-c', cold=False, cold_requests_per_s=12.0)
        self.state.apply(4, servers.JoinServer(cold))
        self.state.apply(5, evacuations.restore(ZONE_A))
        self.assertTrue(self.state.servers.by_id['d-c'].cold)
        self.assertEqual(served_by(self.state), ['d-a', 'd-b', 'd-c'])
        self.state.apply(6, servers.JoinServer(cold))
        self.state.apply(7, evacuations.restore(ZONE_A))
        self.assertFalse(self.state.servers.by_id['d-c'].cold)

    def test_order_for_unknown_zone_is_accepted(self):
        outcome = self.state.apply(4, evacuations.evacuate(ids.Zone('c')))
        self.assertEqual(outcome.index, 4)
        self.assertEqual(self.state.evacuations.zones, {'a', 'c'})

    def test_pools_do_not_see_reserved_names(self):
        target = pool_targets.SetPrefillTarget(ids.ModelId('drafting'), 3)
        self.state.apply(4, target)
        restored = machine.State()
        restored.restore(self.state.snapshot())
        for state in (self.state, restored):
            self.assertEqual(
                state.pool_targets.prefills_by_model, {'drafting': 3}
            )

    def test_snapshot_keeps_evacuations_and_restorations(self):
        self.state.apply(4, evacuations.evacuate(ids.Zone('c')))
        self.state.apply(5, evacuations.restore(ids.Zone('c')))
        data = codec.encode(self.state.snapshot())
        # The other state has another evacuated zone before.
        restored = state_of(evacuations.evacuate(ids.Zone('b')))
        restored.restore(codec.decode(data).unwrap())
        self.assertEqual(served_by(restored), ['d-b'])
        self.assertEqual(restored.evacuations.zones, {'a'})
        self.assertEqual(restored.evacuations.restored_index_by_zone, {'c': 5})
        self.assertEqual(restored.snapshot(), self.state.snapshot())

    def test_snapshot_without_evacuations_restores_all_zones(self):
        self.state.restore(state_of(evacuations.restore(ZONE_A)).snapshot())
        self.assertEqual(self.state.evacuations.zones, frozenset())
        self.state.apply(2, servers.JoinServer(fleet.server('d-a')))
        self.assertEqual(served_by(self.state), ['d-a'])

    def test_stored_form_is_a_pool_target_that_previous_build_decodes(self):
        # The bytes are those of the tag 290 with a name and a number, as
        # the previous build writes and reads them.
        name = b'evacuated zone/a'
        head = b'\x93\xcd\x01\x22' + bytes([0xA0 | len(name)]) + name
        for command, value in (
            (evacuations.evacuate(ZONE_A), b'\x01'),
            (evacuations.restore(ZONE_A), b'\x00'),
        ):
            self.assertEqual(codec.encode(command), head + value)
            self.assertIs(type(command), pool_targets.SetPrefillTarget)

    def test_names_that_no_zone_can_have(self):
        for name, valid in (
            ('', False),
            ('x' * 63, True),
            ('x' * 64, False),
            ('\udcff', False),
            ('eu/1 a', True),
        ):
            with self.subTest(name):
                self.assertIs(evacuations.is_zone_name(name), valid)
