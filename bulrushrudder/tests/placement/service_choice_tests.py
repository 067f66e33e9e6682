import collections
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bulrushrudder.core import ids
from bulrushrudder.placement import service_choice
from bulrushrudder.tests.builders import fleet

IDS = ('portal-1', 'portal-2', 'portal-3')


def server(server_id, incarnation=1, zone='a'):
    return fleet.server(
        server_id, 'service', incarnation=incarnation, zone=ids.Zone(zone)
    )


class ServiceChoiceTests(unittest.TestCase):
    def setUp(self):
        self.choice = service_choice.ServiceChoice(ids.Zone('a'))

    def call(self, now_s=0.0):
        chosen = self.choice.choose(now_s)
        self.choice.begin(chosen, 1, now_s)
        return chosen

    def fail(self, server_id, times, now_s):
        for _ in range(times):
            self.choice.begin(server_id, 1, now_s)
            self.choice.end(server_id, 1, False, now_s)

    def test_prefers_own_zone_until_busier(self):
        self.choice.change([server('near'), server('far', zone='b')])
        chosen = [self.call() for _ in range(9)]
        self.assertEqual(chosen[:3], ['near'] * 3)
        self.assertIn('far', chosen)

    def test_ejected_server_gets_one_trial_call(self):
        self.choice.change([server('one'), server('two')])
        self.fail('one', service_choice.FAILURES_TO_EJECT, 0.0)
        readmitted_s = service_choice.FIRST_EJECTION_S
        chosen = {self.call(readmitted_s - 0.1) for _ in range(4)}
        self.assertEqual(chosen, {'two'})
        chosen = [self.call(readmitted_s + 0.1) for _ in range(4)]
        self.assertEqual(chosen.count('one'), 1)
        self.choice.end('one', 1, False, readmitted_s + 0.2)
        chosen = {self.call(2 * readmitted_s) for _ in range(4)}
        self.assertEqual(chosen, {'two'})

    def test_chooses_only_server_although_ejected(self):
        self.choice.change([server('one')])
        self.fail('one', service_choice.FAILURES_TO_EJECT, 0.0)
        self.assertEqual(self.call(0.1), 'one')


class ServiceChoiceMachine(stateful.RuleBasedStateMachine):
    """Models outstanding calls as a plain Counter."""

    def __init__(self):
        super().__init__()
        self.choice = service_choice.ServiceChoice(ids.Zone('a'))
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
        self.choice.change([server(s, incarnation) for s in present])

    @stateful.rule()
    def call(self):
        chosen = self.choice.choose(self.now_s)
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
        self.choice.begin(chosen, self.present[chosen], self.now_s)
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
        self.choice.end(server_id, incarnation, worked, self.now_s)

    @stateful.rule(seconds=strategies.sampled_from((1.0, 6.0, 70.0)))
    def wait(self, seconds):
        self.now_s += seconds


ServiceChoiceMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    stateful_step_count=30,
)


class ServiceChoiceFuzzTests(ServiceChoiceMachine.TestCase):
    pass


if __name__ == '__main__':
    unittest.main()
