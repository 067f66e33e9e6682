import collections
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bulrushrudder.core import ids
from bulrushrudder.placement import server_selector
from bulrushrudder.tests.builders import fleet

IDS = ('portal-1', 'portal-2', 'portal-3')
FAILED = server_selector.CallResult.FAILED
REJECTED = server_selector.CallResult.REJECTED
SERVED = server_selector.CallResult.SERVED
HALF_LIFE_S = server_selector.FAILURE_HALF_LIFE_S
# Of a failure share that is forgotten, in calls.
NEGLIGIBLE_COST = (
    server_selector.NEGLIGIBLE_FAILURE_SHARE
    * server_selector.FAILING_SERVER_COST_CALLS
)


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
            self.selector.record_call_end(server_id, 1, FAILED, now_s)

    def test_prefers_own_zone_until_busier(self):
        self.selector.update_servers([server('near'), server('far', zone='b')])
        chosen = [self.call() for _ in range(9)]
        self.assertEqual(chosen[:3], ['near'] * 3)
        self.assertIn('far', chosen)

    def test_two_failures_outweigh_own_zone_until_they_are_old(self):
        self.selector.update_servers([server('near'), server('far', zone='b')])
        self.fail('near', 2, 0.0)
        self.assertEqual(self.selector.choose(0.1), 'far')
        later_s = 4 * server_selector.FAILURE_HALF_LIFE_S
        self.assertEqual(self.selector.choose(later_s), 'near')

    # Guards against a pool whose servers are all full for a moment: each
    # VM ejected them for 5 s in turn, and preferred one that resets calls.
    def test_server_that_rejects_is_avoided_for_a_moment_and_not_ejected(self):
        self.selector.update_servers([server('near'), server('far', zone='b')])
        for _ in range(server_selector.FAILURES_TO_EJECT):
            self.selector.record_call_start('near', 1, 0.0)
            self.selector.record_call_end('near', 1, REJECTED, 0.0)
        self.assertEqual(self.selector.choose(0.05), 'far')
        later_s = server_selector.MAX_REJECTION_PAUSE_S
        self.assertEqual(self.selector.choose(later_s), 'near')

    def test_server_that_rejects_is_preferred_to_one_that_fails(self):
        self.selector.update_servers([server('one'), server('two')])
        self.fail('one', 2, 0.0)
        self.selector.record_call_start('two', 1, 0.0)
        self.selector.record_call_end('two', 1, REJECTED, 0.0)
        self.assertEqual(self.selector.choose(0.2), 'two')

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
        self.selector.record_call_end('one', 1, FAILED, readmitted_s + 0.2)
        chosen = {self.call(2 * readmitted_s) for _ in range(4)}
        self.assertEqual(chosen, {'two'})

    def test_chooses_only_server_although_ejected(self):
        self.selector.update_servers([server('one')])
        self.fail('one', server_selector.FAILURES_TO_EJECT, 0.0)
        self.assertEqual(self.call(0.1), 'one')


class HalfFailingServerTests(unittest.TestCase):
    """Load: many VMs with few calls each, and a server that resets half.

    Three servers in three zones, 75 VMs with a call each 0.75 s that lasts
    45 ms; one server fails every second call at once for 7 s. With
    outstanding calls and ejection after three failures in a row alone, 117
    calls fail.
    """

    VMS = 75
    CALL_INTERVAL_S = 0.75
    CALL_S = 0.045
    FAILING_S = 7.0

    def play(self):
        """Return the number of calls that failed."""
        failed = 0
        for vm in range(self.VMS):
            zone = 'abc'[vm % 3]
            selector = server_selector.ServerSelector(ids.Zone(zone))
            selector.update_servers(
                [server(i, zone=z) for i, z in zip(IDS, 'abc', strict=True)]
            )
            now_s = self.CALL_INTERVAL_S * vm / self.VMS
            calls = 0
            while now_s < self.FAILING_S:
                chosen = selector.choose(now_s)
                selector.record_call_start(chosen, 1, now_s)
                fails = chosen == IDS[0] and calls % 2 == vm // 3 % 2
                calls += chosen == IDS[0]
                end_s = now_s + (0.0 if fails else self.CALL_S)
                selector.record_call_end(
                    chosen, 1, FAILED if fails else SERVED, end_s
                )
                failed += fails
                now_s += self.CALL_INTERVAL_S
        return failed

    # Guards against a server that resets part of its calls and looks the
    # least busy to each VM, because failed calls end at once. A VM that
    # has seen two failures should call another server.
    def test_each_vm_loses_few_calls(self):
        self.assertLessEqual(self.play(), 4 * self.VMS / 3)


class ServerSelectorMachine(stateful.RuleBasedStateMachine):
    """Models outstanding calls as a list, and failures from all results."""

    def __init__(self):
        super().__init__()
        self.selector = server_selector.ServerSelector(ids.Zone('a'))
        self.now_s = 0.0
        self.present = {}
        self.running = []
        self.failures = collections.Counter()
        # Whether a server was ejected at any time.
        self.ejected = collections.defaultdict(bool)
        self.results = collections.defaultdict(list)
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
            if (
                server_id not in present
                or self.present.get(server_id) != incarnation
            ):
                self.failures[server_id] = 0
                self.ejected[server_id] = False
                self.results[server_id] = []
        self.present = dict.fromkeys(present, incarnation)
        self.selector.update_servers([server(s, incarnation) for s in present])

    def cost(self, server_id):
        """Return the calls of a server, and its failures as calls."""
        share = 0.0
        updated_s = 0.0
        for ended_s, failed in self.results[server_id]:
            share *= 0.5 ** ((ended_s - updated_s) / HALF_LIFE_S)
            share += (failed - share) * server_selector.FAILURE_EWMA_WEIGHT
            updated_s = ended_s
        share *= 0.5 ** ((self.now_s - updated_s) / HALF_LIFE_S)
        counts = collections.Counter(self.running)
        calls = counts[server_id, self.present[server_id]]
        return calls + share * server_selector.FAILING_SERVER_COST_CALLS

    @stateful.rule()
    def call(self):
        chosen = self.selector.choose(self.now_s)
        assert (chosen is None) == (not self.present)
        if chosen is None:
            return
        assert chosen in self.present
        if not any(self.ejected[server_id] for server_id in self.present):
            least = min(self.cost(server_id) for server_id in self.present)
            assert self.cost(chosen) - least < NEGLIGIBLE_COST
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
            self.results[server_id].append((self.now_s, not worked))
            self.failures[server_id] += 1
            if worked:
                self.failures[server_id] = 0
            limit = server_selector.FAILURES_TO_EJECT
            self.ejected[server_id] |= self.failures[server_id] >= limit
        self.selector.record_call_end(
            server_id, incarnation, SERVED if worked else FAILED, self.now_s
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
