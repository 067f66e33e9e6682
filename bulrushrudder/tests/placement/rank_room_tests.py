import unittest

from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.tests.builders import places

PLACES = 20


class RankRoomTests(unittest.TestCase):
    """A pool of 20 places, of which requests of rank 0 take 8 a second.

    Guards against lower ranks that take the last room before a burst of
    higher ranks, and against room that is kept for nobody.
    """

    def setUp(self):
        self.coordinator = coordinator.Coordinator(max_booked_ahead=0)
        pool = places.servers_changed(10, 4, places=PLACES // 4)
        self.coordinator.handle(pool, 0.0)

    def ask(self, number, now_s, rank):
        request = places.placement_request(
            number, rank=rank, prompt_tokens=100
        )
        return places.grants(self.coordinator.handle(request, now_s))

    def ask_high(self, count=8, rank=0):
        for number in range(count):
            self.ask(number, 1.0 + number / 10, rank)

    def granted_low(self, now_s, count=PLACES):
        return sum(
            len(self.ask(100 + number, now_s + number / 100, 1))
            for number in range(count)
        )

    def test_lower_rank_leaves_room_for_one_second_of_demand(self):
        self.ask(50, 0.0, 0)
        self.ask_high()
        free = PLACES - 9
        self.assertEqual(self.granted_low(1.75), free - 8)

    def test_room_that_is_freed_in_time_is_not_kept(self):
        self.ask(50, 0.0, 0)
        self.ask_high()
        for number in range(8):
            released = events.PlaceReleased(places.hold_id(number))
            self.coordinator.handle(released, 1.75)
        self.assertEqual(self.granted_low(1.75), PLACES - 1)

    def test_first_second_keeps_no_room(self):
        self.ask_high()
        self.assertEqual(self.granted_low(1.75), PLACES - 8)

    def test_single_rank_keeps_no_room(self):
        self.ask(50, 0.0, 1)
        self.ask_high(rank=1)
        self.assertEqual(self.granted_low(1.75), PLACES - 9)
