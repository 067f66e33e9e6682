"""Crowds of clients that keep to no limit, before the real programs.

Each test checks that the process lives, stays under the memory of its VM
and its descriptors, and answers one ordinary call. None checks a time.
"""

from bulrushrudder.tests.builders import crowd_case
from bulrushrudder.tests.builders import crowds


class CrowdTests(crowd_case.CrowdCase):
    # Guards against calls sent ahead and answers that nobody reads.

    async def test_unread_large_answers_stay_within_memory(self):
        async with crowds.system() as fleet:
            await self.check(
                fleet.edges[0],
                'frontend',
                count=24,
                make_pieces=lambda: crowds.calls('/look/1', 400),
            )

    async def test_uploads_sent_ahead_stay_within_memory(self):
        async with crowds.system() as fleet:
            await self.check(
                fleet.edges[0],
                'frontend',
                count=60,
                make_pieces=lambda: crowds.calls('/look/1', 40, size=50_000),
            )

    async def test_trickling_uploads_stay_within_memory(self):
        async with crowds.system() as fleet:
            await self.check(
                fleet.edges[0],
                'frontend',
                count=40,
                make_pieces=crowds.uploads(2_000_000),
                pause_s=0.01,
            )

    async def test_heads_without_end_stay_within_memory(self):
        async with crowds.system() as fleet:
            await self.check(
                fleet.edges[0],
                'frontend',
                count=120,
                make_pieces=crowds.endless_head,
            )

    async def test_unread_rejections_stay_within_memory(self):
        async with crowds.system() as fleet:
            await self.check(
                fleet.edges[0],
                'frontend',
                count=300,
                make_pieces=lambda: crowds.calls('/look/1', 2000, key='other'),
            )

    async def test_control_process_stays_within_memory(self):
        async with crowds.system() as fleet:
            await self.check(
                fleet.controls[0],
                'control_plane',
                count=600,
                make_pieces=lambda: crowds.calls(
                    '/bulrushrudder/config', 2000, size=0, method='GET'
                ),
            )

    async def test_heads_without_end_leave_control_process_its_memory(self):
        async with crowds.system() as fleet:
            await self.check(
                fleet.controls[0],
                'control_plane',
                count=120,
                make_pieces=crowds.endless_head,
            )

    # Guards against connections that leave no descriptor to servers.

    async def test_many_connections_leave_descriptors(self):
        async with crowds.system(max_fds=crowds.MAX_FDS) as fleet:
            await self.check(
                fleet.edges[0],
                'frontend',
                max_fds=crowds.MAX_FDS,
                count=400,
                make_pieces=crowds.uploads(0),
                pause_s=0.05,
            )

    async def test_many_connections_leave_control_process_descriptors(self):
        async with crowds.system(max_fds=crowds.MAX_FDS) as fleet:
            await self.check(
                fleet.controls[0],
                'control_plane',
                max_fds=crowds.MAX_FDS,
                count=400,
                make_pieces=crowds.uploads(0),
                pause_s=0.05,
            )
