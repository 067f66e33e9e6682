import dataclasses
import pickle
import unittest

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.placement import explanation
from bulrushrudder.placement import server_selector
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import cold_fleet
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import model_zones
from bulrushrudder.tests.builders import places
from bulrushrudder.tests.builders import zone_world

# A prompt of 1,000 tokens takes 0.1 s.
SPEED = servers.InitialSpeed(prefill_tokens_per_s=10_000.0, token_s=0.01)


class ExplanationTests(unittest.TestCase):
    """An explanation must neither change the state nor differ from it."""

    def setUp(self):
        self.pool = places.servers_changed(2, 2, places=2, initial_speed=SPEED)
        self.coordinator = self.make(self.pool)

    def make(self, pool, **changes):
        made = coordinator.Coordinator(max_booked_ahead=0, **changes)
        made.handle(pool, 0.0)
        return made

    def fill(self, count):
        for number in range(count):
            request = places.placement_request(number)
            self.coordinator.handle(request, number * 0.2)

    def explain(self, now_s=2.0, number=100, **changes):
        """Explain a request, and check that the state stays as it is."""
        before = pickle.dumps(self.coordinator)
        explained = explanation.explain(
            self.coordinator,
            places.placement_request(number, **changes),
            (self.pool,),
            now_s,
        )
        self.assertEqual(pickle.dumps(self.coordinator), before)
        return explained

    def decide(self, now_s=2.0, number=100, **changes):
        request = places.placement_request(number, **changes)
        return self.coordinator.handle(request, now_s)

    def test_names_servers_of_the_decision_that_follows(self):
        for costs in (model_zones.PRICED, model_zones.LOCAL_FIRST):
            with self.subTest(costs=costs):
                self.coordinator = self.make(self.pool, costs=costs)
                for number in range(4):
                    now_s = number * 0.03
                    explained = self.explain(now_s, number)
                    chosen = {
                        c.server for c in explained.candidates if c.chosen
                    }
                    granted = places.grants(self.decide(now_s, number))
                    expected = {
                        server_id
                        for grant in granted
                        for server_id in (grant.prefill, grant.decode)
                    }
                    self.assertEqual(chosen, expected)

    def test_says_what_stands_against_each_server(self):
        self.fill(3)
        explained = self.explain()
        self.assertIs(explained.fate, explanation.Fate.GRANTED)
        by_id = {c.server: c for c in explained.candidates}
        self.assertEqual(len(by_id), 4)
        reasons = sorted(c.why for c in by_id.values() if not c.chosen)
        self.assertEqual(reasons, ['costs more', 'no place'])

    def test_full_pool_queues(self):
        self.fill(4)
        self.decide(1.5, number=50)
        explained = self.explain()
        self.assertIs(explained.fate, explanation.Fate.QUEUED)
        self.assertEqual(explained.queued, 1)

    def test_refusal_has_reason_and_retry_time(self):
        limits = [
            events.LimitReported(server.id, 1, 0.1)
            for server in self.pool.servers
        ]
        for limit in limits:
            self.coordinator.handle(limit, 0.0)
        for number in range(6):
            self.decide(0.0, number=number, patience_s=90.0)
        explained = self.explain(patience_s=0.5)
        self.assertIs(explained.fate, explanation.Fate.REFUSED)
        self.assertEqual(explained.reason, int(outcomes.Reason.NO_SERVER))
        self.assertGreater(explained.retry_after_s, 0.0)

    def test_cold_server_and_ranks_are_explained_without_an_effect(self):
        cold = tuple(
            dataclasses.replace(server, cold_requests_per_s=1.0, cold=True)
            for server in self.pool.servers
        )
        self.pool = events.ServersChanged(cold)
        self.coordinator = self.make(
            self.pool, cold_bounds=cold_fleet.BOUNDS, costs=model_zones.PRICED
        )
        self.decide(2.0, number=1, rank=1)
        self.decide(2.0, number=2, rank=0)
        explained = self.explain(2.01, rank=0)
        self.assertIs(explained.fate, explanation.Fate.QUEUED)
        self.assertIn(
            'its limit of requests, or it is cold',
            {c.why for c in explained.candidates},
        )

    def test_age_is_that_of_the_last_report(self):
        report = events.LoadReported(
            ids.ServerId('decode-0'), 1, 1, 2, 0.02, 0.0
        )
        self.coordinator.handle(report, 1.0)
        by_id = {c.server: c for c in self.explain(3.5).candidates}
        self.assertEqual(by_id['decode-0'].age_s, 2.5)
        self.assertIsNone(by_id['decode-1'].age_s)


class ServiceExplanationTests(unittest.TestCase):
    def test_names_next_server_and_draws_none(self):
        spread = zone_world.new_spread('vm1', 'a')
        selector = server_selector.ServerSelector(ids.Zone('a'), spread)
        found = [
            fleet.server(f'{zone}1', 'service', zone=ids.Zone(zone))
            for zone in 'ab'
        ]
        selector.update_servers(found)
        selector.record_call_start('a1', 1, 0.0)
        before = pickle.dumps(selector)
        explained = explanation.explain_service(
            selector, found, lambda server: None, frozenset(), 1.0
        )
        self.assertEqual(pickle.dumps(selector), before)
        self.assertEqual(
            [c.server for c in explained.candidates if c.chosen], ['a1']
        )
        paused = explanation.explain_service(
            selector, found, lambda server: None, {'a1', 'b1'}, 1.0
        )
        self.assertIs(paused.fate, explanation.Fate.REFUSED)


if __name__ == '__main__':
    unittest.main()
