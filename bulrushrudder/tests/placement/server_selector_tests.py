import collections
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bulrushrudder.core import ids
from bulrushrudder.placement import server_selector
from bulrushrudder.tests.builders import fleet

IDS = ('portal-1', 'portal-2', 'portal-3')


def server(server_id, incarnation=1, zone='a'):
    return fleet.server(
        server_id, 'service', incarnation=incarnation, zone=ids.Zone(zone)
    )


class ServerSelectorTests(unittest.TestCase):
    def setUp(self):
        self.selector = server_selector.ServerSelector(ids.Zone('a'))

    def call(self, now_s=0.0):
        chosen = self.selector.choose(now_s)
        self.selector.record_call_start(chosen, 1, now_s)
        return chosen

    def fail(self, server_id, times, now_s):
        for _ in range(times):
            self.selector.record_call_start(server_id, 1, now_s)
            self.selector.record_call_end(server_id, 1, False, now_s)

    def test_prefers_own_zone_until_busier(self):
        self.selector.update_servers([server('near'), server('far', zone='b')])
        chosen = [self.call() for _ in range(9)]
        self.assertEqual(chosen[:3], ['near'] * 3)
        self.assertIn('far', chosen)

    def test_ejected_server_is_chosen_if_the_others_take_no_call(self):
        self.selector.update_servers([server('one'), server('two')])
        self.fail('one', server_selector.FAILURES_TO_EJECT, 0.0)
        ranked = self.selector.ranked(1.0, unavailable=('two',))
        self.assertEqual(ranked, ['one'])

    def test_ejected_server_gets_one_trial_call(self):
        self.selector.update_servers([server('one'), server('two')])
        self.fail('one', server_selector.FAILURES_TO_EJECT, 0.0)
        readmitted_s = server_selector.FIRST_EJECTION_S
        chosen = {self.call(readmitted_s - 0.1) for _ in range(4)}
        self.assertEqual(chosen, {'two'})
        chosen = [self.call(readmitted_s + 0.1) for _ in range(4)]
        self.assertEqual(chosen.count('one'), 1)
        self.selector.record_call_end('one', 1, False, readmitted_s + 0.2)
        chosen = {self.call(2 * readmitted_s) for _ in range(4)}
        self.assertEqual(chosen, {'two'})

    def test_chooses_only_server_although_ejected(self):
        self.selector.update_servers([server('one')])
        self.fail('one', server_selector.FAILURES_TO_EJECT, 0.0)
        self.assertEqual(self.call(0.1), 'one')


class ServerSelectorMachine(stateful.RuleBasedStateMachine):
    """Models outstanding calls as a plain Counter."""

    def __init__(self):
        super().__init__()
        self.selector = server_selector.ServerSelector(ids.Zone('a'))
        self.now_s = 0.0
        self.present = {}
        self.running = []
        self.failures = collections.Counter()
        self.incarnation = 1

    @stateful.rule(
        present=strategies.sets(strategies.sampled_from(IDS)),
        restarted=strategies.booleans(),
    )
    def change(self, present, restarted):
        # The replicated state refuses earlier incarnations.
        self.incarnation += restarted
        incarnation = self.incarnation
        for server_id in IDS:
            if self.present.get(server_id) != incarnation:
                self.failures[server_id] = 0
            if server_id not in present:
                self.failures[server_id] = 0
        self.present = dict.fromkeys(present, incarnation)
        self.selector.update_servers([server(s, incarnation) for s in present])

    @stateful.rule()
    def call(self):
        chosen = self.selector.choose(self.now_s)
        assert (chosen is None) == (not self.present)
        if chosen is None:
            return
        assert chosen in self.present
        healthy = [
            server_id
            for server_id in self.present
            if self.failures[server_id] == 0
        ]
        counts = collections.Counter(self.running)
        if len(healthy) == len(self.present):
            least = min(counts[item] for item in self.present.items())
            assert counts[chosen, self.present[chosen]] == least
        self.selector.record_call_start(
            chosen, self.present[chosen], self.now_s
        )
        self.running.append((chosen, self.present[chosen]))

    @stateful.rule(worked=strategies.booleans(), data=strategies.data())
    def end(self, worked, data):
        if not self.running:
            return
        item = data.draw(strategies.sampled_from(self.running))
        self.running.remove(item)
        server_id, incarnation = item
        if self.present.get(server_id) == incarnation:
            self.failures[server_id] += 1
            if worked:
                self.failures[server_id] = 0
        self.selector.record_call_end(
            server_id, incarnation, worked, self.now_s
        )

    @stateful.rule(seconds=strategies.sampled_from((1.0, 6.0, 70.0)))
    def wait(self, seconds):
        self.now_s += seconds


ServerSelectorMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    stateful_step_count=30,
)


class ServerSelectorFuzzTests(ServerSelectorMachine.TestCase):
    pass


if __name__ == '__main__':
    unittest.main()
