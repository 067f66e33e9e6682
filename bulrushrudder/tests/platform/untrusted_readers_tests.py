"""Clients that take no answer, before servers that have much to send."""

from bulrushrudder.tests.builders import crowd_case
from bulrushrudder.tests.builders import crowds
from bulrushrudder.tests.soak import works

EVENT_BYTES = 2000
STREAM = works.Work(events=300, gap_s=0.0, event_filler=EVENT_BYTES)
SMALL = works.Work(takes_s=0.0)
# Answers that all begin after the crowd is complete.
LARGE = works.Work(takes_s=2.0, filler=crowds.ANSWER_BYTES)
LARGEST = works.Work(takes_s=2.0, filler=3_000_000)


class UnreadStreamsTests(crowd_case.CrowdCase):
    # Guards against streams whose events wait for their clients.

    async def test_unread_streams_stay_within_memory(self):
        async with crowds.system(stream=STREAM) as fleet:
            machine = fleet.edges[0]
            async with self.crowd(machine, 'frontend') as (watch, crowd):
                crowd.join(250, lambda: crowds.stream_calls(1))
                await watch.look(2 * crowd_case.CROWD_S)

    async def test_unread_streams_sent_ahead_stay_within_memory(self):
        async with crowds.system(stream=STREAM) as fleet:
            machine = fleet.edges[0]
            async with self.crowd(machine, 'frontend') as (watch, crowd):
                crowd.join(250, lambda: crowds.stream_calls(400))
                await watch.look(2 * crowd_case.CROWD_S)


class UnexpectedAnswersTests(crowd_case.CrowdCase):
    # Guards against answers larger than earlier ones let expect.

    async def test_larger_answers_stay_within_memory(self):
        await self.check_answers(LARGE, 200)

    async def test_largest_answers_stay_within_memory(self):
        await self.check_answers(LARGEST, 60)

    async def check_answers(self, work, count):
        drawn = [SMALL]
        async with crowds.system(draw=lambda _: drawn[0]) as fleet:
            machine = fleet.edges[0]
            async with self.crowd(machine, 'frontend') as (watch, crowd):
                await crowd.call(4, lambda: crowds.calls('/look/1', 20))
                drawn[0] = work
                crowd.join(count, lambda: crowds.calls('/book/1', 1))
                await watch.look(2 * crowd_case.CROWD_S)
                drawn[0] = SMALL
