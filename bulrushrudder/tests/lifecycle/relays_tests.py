import unittest

from bulrushrudder.core import ids
from bulrushrudder.lifecycle import paths
from bulrushrudder.lifecycle import relays
from bulrushrudder.state import sessions

SERVER = paths.ServerKey(ids.ServerId('s-1'), 1)
OTHER = paths.ServerKey(ids.ServerId('s-2'), 1)
DOWN = relays.Answer(paths.RelayProblem.SERVER_REFUSES, True)
CUT_OFF = relays.Answer(paths.RelayProblem.SERVER_SILENT, False)


def owner(vm):
    return ids.Owner(ids.VmId(vm), 1)


def session(vm, zone, hosts_roles=True):
    return sessions.OpenSession(
        owner(vm), ids.Zone(zone), '10.0.0.1', 7700, hosts_roles
    )


class RelaysTests(unittest.TestCase):
    def setUp(self):
        self.relays = relays.Relays(owner('a-0'), ids.Zone('a'))
        self.candidates = self.relays.candidates(
            [
                session(f'{zone}-{number}', zone)
                for zone in 'abc'
                for number in range(4)
            ]
        )

    def batches(self, now_s=0.0, server=SERVER):
        return self.relays.batches(self.candidates, server, now_s)

    def zone_of(self, chosen):
        return chosen.vm[0]

    def test_neither_this_vm_nor_one_that_stops_is_a_candidate(self):
        found = self.relays.candidates(
            [
                session('a-0', 'a'),
                session('b-0', 'b'),
                session('b-1', 'b', hosts_roles=False),
            ]
        )
        self.assertEqual([c.owner for c in found], [owner('b-0')])

    def test_first_vms_asked_are_of_all_zones(self):
        first = self.batches()[0]
        self.assertEqual(self.zone_of(first[0]), 'a')
        self.assertEqual(sorted(map(self.zone_of, first)), ['a', 'b', 'c'])

    def test_number_of_vms_asked_is_bounded(self):
        asked = [vm for batch in self.batches() for vm in batch]
        self.assertEqual(len(asked), relays.MAX_ASKED)
        self.assertEqual(len(set(asked)), relays.MAX_ASKED)

    def test_vm_that_relayed_lately_is_asked_alone_first(self):
        self.relays.opened(owner('c-3'), 0.0)
        self.assertEqual(self.batches(1.0)[0], [owner('c-3')])
        self.assertEqual(self.batches(1.0, OTHER)[0], [owner('c-3')])

    def test_vms_that_relayed_lately_share_the_load(self):
        for vm in 'b-1', 'c-3':
            self.relays.opened(owner(vm), 0.0)
        asked = []
        for _ in range(10):
            ((first,), *_) = self.batches(1.0)
            self.relays.opened(first, 1.0)
            asked.append(first.vm)
        self.assertEqual(asked.count('b-1'), 5)
        self.assertEqual(asked.count('c-3'), 5)

    def test_vm_that_is_cut_off_itself_is_left_out_for_a_while(self):
        self.relays.failed(owner('a-1'), SERVER, CUT_OFF, 0.0)
        self.relays.failed(owner('a-2'), SERVER, None, 0.0)
        for server in SERVER, OTHER:
            asked = [
                vm.vm for batch in self.batches(1.0, server) for vm in batch
            ]
            self.assertNotIn('a-1', asked)
            self.assertNotIn('a-2', asked)
        later = self.relays.batches(
            [c for c in self.candidates if c.zone == 'a'], SERVER, 4.0
        )
        asked = [vm.vm for batch in later for vm in batch]
        self.assertIn('a-1', asked)

    def test_vm_that_reaches_other_servers_is_asked_for_those(self):
        self.relays.failed(owner('a-1'), SERVER, DOWN, 0.0)
        few = [c for c in self.candidates if c.zone == 'a']
        asked = [vm for batch in self.batches(1.0) for vm in batch]
        self.assertNotIn(owner('a-1'), asked)
        other = self.relays.batches(few, OTHER, 1.0)
        self.assertIn(owner('a-1'), [vm for batch in other for vm in batch])

    # Guards against a crash that cannot be told, as only a frozen VM is
    # left to be asked.
    def test_vm_that_says_that_a_server_is_down_can_be_asked_again(self):
        few = self.candidates[:4]
        for candidate in few[:3]:
            self.relays.failed(candidate.owner, SERVER, DOWN, 0.0)
        asked = [
            vm
            for batch in self.relays.batches(few, SERVER, 1.0)
            for vm in batch
        ]
        self.assertCountEqual(asked, [c.owner for c in few])
        self.assertEqual(asked[0], few[3].owner)

    def test_vms_that_said_down_are_asked_in_turns(self):
        few = self.candidates[:6]
        asked = []
        for step in range(4):
            now_s = step / 2
            first = self.relays.batches(few, SERVER, now_s)[0]
            for vm in first:
                self.relays.failed(vm, SERVER, DOWN, now_s)
            asked += first
        self.assertCountEqual(asked, 2 * [c.owner for c in few])

    def test_all_are_asked_if_all_have_failed(self):
        for candidate in self.candidates:
            self.relays.failed(candidate.owner, SERVER, CUT_OFF, 0.0)
        self.assertTrue(self.batches(1.0))

    def test_only_a_vm_that_reaches_others_says_that_a_server_is_down(self):
        self.assertTrue(DOWN.says_down)
        self.assertFalse(CUT_OFF.says_down)
        lost = relays.Answer(paths.RelayProblem.PATH_LOST, True)
        self.assertFalse(lost.says_down)

    # Guards against a server that one VM without a path to it calls down.
    def test_two_vms_must_say_that_a_server_is_down(self):
        verdict = relays.Verdict(self.candidates)
        verdict.record(DOWN)
        verdict.record(CUT_OFF)
        verdict.record(None)
        self.assertFalse(verdict.down)
        verdict.record(DOWN)
        self.assertTrue(verdict.down)
        self.assertTrue(verdict.refused)

    def test_the_only_other_vm_says_that_a_server_is_down(self):
        verdict = relays.Verdict(self.candidates[:1])
        self.assertFalse(verdict.down)
        verdict.record(DOWN)
        self.assertTrue(verdict.down)

    def test_nobody_says_that_a_server_is_down_without_other_vms(self):
        self.assertFalse(relays.Verdict([]).down)

    # Guards against a crash that costs more asks after a relay worked.
    def test_first_vms_asked_are_three_at_most(self):
        self.assertEqual(len(self.batches()[0]), 3)
        self.relays.opened(owner('c-3'), 0.0)
        alone, second, *_ = self.batches(1.0)
        self.assertEqual((len(alone), len(second)), (1, 2))
