import hashlib
import unittest

from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.placement import fair_queue
from bulrushrudder.placement import rank_shares
from bulrushrudder.tests.builders import places
from bulrushrudder.tests.builders import ranked_loads

# Of the grants of the replay before ranks were used.
GRANTS_DIGEST = '63730e6f2eeb6a6b'
LATE = {
    'interactive': False,
    'accepts_late_answer': True,
    'first_token_s': 0.1,
    'patience_s': 90.0,
}


class RankOrderTests(unittest.TestCase):
    """One place, for which requests of several ranks wait."""

    def setUp(self):
        self.coordinator = coordinator.Coordinator(max_booked_ahead=0)
        self.coordinator.handle(places.servers_changed(1, 1, places=1), 0.0)
        self.ask(1)

    def ask(self, number, now_s=0.0, **changes):
        request = places.placement_request(number, **changes)
        return self.coordinator.handle(request, now_s)

    def grant_order(self, count):
        order = [1]
        for step in range(count):
            # The prefill before it has ended by then.
            now_s = 1.0 + step / 2
            released = events.PlaceReleased(places.hold_id(order[-1]))
            (granted,) = places.grants(
                self.coordinator.handle(released, now_s)
            )
            order.append(granted.call)
        return order[1:]

    def test_higher_rank_goes_first_within_class(self):
        for number, rank in ((2, 2), (3, 0), (4, 1)):
            self.ask(number, rank=rank, account=f'account-{number}')
        self.ask(5, rank=0, interactive=False)
        self.assertEqual(self.grant_order(4), [3, 4, 2, 5])

    def test_higher_rank_goes_first_among_late_requests(self):
        for number, rank in ((2, 2), (3, 0), (4, 1)):
            self.ask(number, rank=rank, **LATE)
        self.assertEqual(self.grant_order(3), [3, 4, 2])

    def test_request_without_rank_counts_as_middle_rank(self):
        for number, rank in ((2, 2), (3, 1), (4, 0), (5, None)):
            self.ask(number, rank=rank)
        self.assertEqual(self.grant_order(4), [4, 3, 5, 2])

    def test_accounts_share_within_rank(self):
        for number in range(2, 6):
            self.ask(number, rank=1, account='globex')
        for number in range(6, 8):
            self.ask(number, rank=1, account='initech')
        self.assertEqual(self.grant_order(4), [2, 6, 3, 7])


class OwnTargetTests(unittest.TestCase):
    # Guards against requests that are put last as late although their own
    # target, longer than that of other routes, can be met.

    def is_late(self, *ranks):
        queue = fair_queue.FairQueue()
        for number, rank in enumerate(ranks):
            request = places.placement_request(
                number, rank=rank, own_first_token_s=9.0, **LATE
            )
            queue.add(request, 0.0)
        late = {moved.request.hold for moved in queue.demote(1.0)}
        return request.hold in late

    def test_request_of_several_ranks_is_late_past_its_own_target(self):
        self.assertFalse(self.is_late(0, 1))

    def test_request_of_one_rank_is_late_past_target_of_model(self):
        self.assertTrue(self.is_late(1, 1))


class LeastShareTests(unittest.TestCase):
    # Guards against a rank that starves while higher ranks ask for more
    # than can be served.

    def test_lower_rank_keeps_least_share(self):
        queue = fair_queue.FairQueue()
        granted = {0: 0, 1: 0}
        for number in range(400):
            now_s = number / 20
            for rank in (0, 1):
                request = places.placement_request(
                    2 * number + rank, rank=rank, patience_s=90.0
                )
                queue.add(request, now_s)
            (head, *_) = queue.heads(
                fair_queue.QueueClass.INTERACTIVE, 8, now_s
            )
            queue.grant(head, now_s)
            granted[head.rank] += 1
        least = rank_shares.MIN_SERVED_PART / 2
        self.assertAlmostEqual(granted[1] / 400, least, delta=0.01)

    def test_rank_that_held_back_account_leaves_is_served(self):
        queue = fair_queue.FairQueue()
        for number in range(9):
            queue.add(
                places.placement_request(number, account=f'a{number}', rank=0),
                0.0,
            )
        queue.add(places.placement_request(9, rank=1), 0.0)
        heads = queue.heads(fair_queue.QueueClass.INTERACTIVE, 8, 0.0)
        self.assertEqual([h.rank for h in heads], [0] * 7 + [1])


class RankedReplayTests(unittest.TestCase):
    """The load of ranked_loads: three ranks, a burst and lost servers."""

    def test_equal_or_absent_ranks_change_no_grant(self):
        for order in ('none', 'equal'):
            with self.subTest(order):
                load = ranked_loads.Load(order=order, duration_s=16.0)
                grants = ranked_loads.replay(load).grants
                digest = hashlib.sha256(repr(grants).encode()).hexdigest()
                self.assertEqual(digest[:16], GRANTS_DIGEST)

    def test_higher_ranks_are_served_first_and_none_starves(self):
        counts = ranked_loads.replay(ranked_loads.Load()).counts_by_rank
        shares = [counts[rank].timely_share for rank in range(3)]
        self.assertGreaterEqual(shares[0], shares[1] - 0.05)
        self.assertGreaterEqual(shares[1], shares[2] - 0.05)
        asked = sum(c.asked for c in counts.values())
        served = sum(c.timely + c.late for c in counts.values()) / asked
        self.assertGreater(counts[2].served_share, served / 4)
