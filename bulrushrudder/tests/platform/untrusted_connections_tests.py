"""What connections of clients leave behind, before the real programs."""

from bulrushrudder.tests.builders import crowd_case
from bulrushrudder.tests.builders import crowds
from bulrushrudder.tests.soak import works

REJECTED = next(crowds.calls('/look/1', 1, key='other'))
QUICK = works.Work(takes_s=0.0)
SLOW = works.Work(takes_s=15.0)


class ClosedConnectionTests(crowd_case.CrowdCase):
    # Guards against objects of closed connections that are kept until the
    # timeouts of these would have ended.

    async def test_connections_reset_before_a_request_leave_nothing(self):
        async with crowds.system() as fleet:
            machine = fleet.edges[0]
            async with self.crowd(machine, 'frontend') as (watch, crowd):
                await watch.look_while(crowd.reopen(20, 600, b'P', False))

    async def test_connections_reset_after_an_answer_leave_nothing(self):
        async with crowds.system() as fleet:
            machine = fleet.edges[0]
            async with self.crowd(machine, 'frontend') as (watch, crowd):
                await watch.look_while(crowd.reopen(20, 600, REJECTED, True))

    async def test_closed_connections_leave_control_process_nothing(self):
        async with crowds.system() as fleet:
            machine = fleet.controls[0]
            async with self.crowd(machine, 'control_plane') as (watch, crowd):
                await watch.look_while(crowd.reopen(20, 600, b'P', False))


class RememberedIdTests(crowd_case.CrowdCase):
    # Guards against ids of calls that are remembered by connections to
    # servers, which keep the latest ones to tell late copies.

    async def test_long_ids_of_calls_stay_within_memory(self):
        async with crowds.system(draw=lambda _: QUICK) as fleet:
            machine = fleet.edges[0]
            async with self.crowd(machine, 'frontend') as (watch, crowd):
                await watch.look_while(
                    crowd.call(40, lambda: crowds.calls_with_long_ids(100))
                )


class UnreadBytesTests(crowd_case.CrowdCase):
    # Guards against bytes that wait in the kernel while calls are served.

    async def test_bytes_behind_slow_calls_stay_within_memory(self):
        work = [QUICK]
        async with crowds.system(draw=lambda _: work[0]) as fleet:
            work[0] = SLOW
            machine = fleet.edges[0]
            async with self.crowd(machine, 'frontend') as (watch, crowd):
                crowd.join(400, lambda: crowds.calls('/book/1', 40, 50_000))
                await watch.look(crowd_case.CROWD_S)
                work[0] = QUICK
