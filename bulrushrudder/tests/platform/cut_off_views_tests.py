"""What VMs without paths to the backend servers tell others about them."""

import asyncio
import dataclasses

from bulrushrudder.tests.builders import cut_off_case
from bulrushrudder.tests.builders import cuttable_network
from bulrushrudder.tests.builders import entries_fleet

WORK_S = 1.0
SETTLE_S = 2.0
CUT_S = 6.0
CALLS = 12
INTERVAL_S = 0.4
SERVER = 'i-decode-a'


class ViewsTests(cut_off_case.CutOffTestCase):
    # Guards against sound requests that are quarantined on all VMs since
    # one VM takes lost paths for crashes.
    async def check_reports(self, *entries):
        await self.warm_up()
        for runner in self.runners_by_id.values():
            runner.set_reply(entries_fleet.slowly(WORK_S))
        calling = [
            asyncio.create_task(self.cut_off.call(path))
            for path in cut_off_case.PATHS
        ]
        await asyncio.sleep(WORK_S / 2)
        for entry in entries:
            entry.network.cut(cuttable_network.REFUSED)
        await asyncio.gather(*calling)
        await asyncio.sleep(SETTLE_S)
        for entry in self.fleet.entries:
            suspects = entry.process.view.state.suspect_parts.by_part
            self.assertEqual(suspects, {})

    async def test_lost_paths_are_not_reported_as_crashes(self):
        await self.check_reports(self.cut_off)

    async def test_lost_paths_of_all_are_not_reported_as_crashes(self):
        await self.check_reports(*self.fleet.entries)

    # Guards against a sound server that other VMs no longer use, since one
    # VM cannot reach it.
    async def check_use(self, name):
        cut = dataclasses.replace(
            cuttable_network.CUTS[name], servers=frozenset({SERVER})
        )
        await self.cut(cut, self.cut_off)
        runner = self.runners_by_id[SERVER]
        answers = [await self.other.call('/once/1') for _ in range(CALLS)]
        ran = {call.headers.get('Attempt-Id') for call in runner.calls}
        used = [seen for seen in answers if seen.attempt in ran]
        self.assertGreaterEqual(len(used), CALLS // 4)

    async def test_other_vms_use_a_server_that_refuses_one(self):
        await self.check_use('refused')

    async def test_other_vms_use_a_server_that_hangs_for_one(self):
        await self.check_use('hanging')

    # Guards against a choice of servers that a cut spoils for a minute.
    async def test_nearest_server_is_used_again_after_the_cut(self):
        await self.cut(cuttable_network.REFUSED, self.cut_off)
        await self.cut_off.call_for(CUT_S, '/find/1')
        self.cut_off.network.heal()
        await self.cut_off.call_for(cut_off_case.CONTACT_S, '/find/1')
        nearest = self.runners_by_id['i-portal-a']
        before = len(nearest.calls)
        for _ in range(CALLS):
            self.assertEqual((await self.cut_off.call('/find/1')).status, 200)
        self.assertEqual(len(nearest.calls) - before, CALLS)

    # Guards against the use of the retry budget for lost paths.
    async def test_refused_paths_do_not_spend_the_retry_budget(self):
        await self.warm_up()
        self.cut_off.network.cut(cuttable_network.REFUSED)
        for seen in await self.call_all(CUT_S):
            self.assertNotIn(b'RETRY_BUDGET', seen.body)

    async def test_hanging_paths_leave_retries_for_later_calls(self):
        await self.warm_up()
        self.cut_off.network.cut(cuttable_network.HANGING)
        await self.call_all(cut_off_case.CONTACT_S)
        for seen in await self.call_all(cut_off_case.CONTACT_S):
            self.assertNotIn(b'RETRY_BUDGET', seen.body)

    async def call_all(self, seconds):
        """Call all paths for some seconds; return what was Seen."""
        answers = await asyncio.gather(
            *(
                self.cut_off.call_for(seconds, path)
                for path in cut_off_case.PATHS
            )
        )
        return sum(answers, [])


class RolesTests(cut_off_case.CutOffTestCase):
    entries = 3

    # Guards against callers of other VMs that suffer from roles which a
    # VM without paths hosts.
    async def check_others(self, name, hosting):
        await self.warm_up()
        host = self.other.process.coordinator_client.host_of('engines').vm
        numbers = range(1, self.entries + 1)
        chosen = next(n for n in numbers if (f'edge-{n}' == host) is hosting)
        cut_off = self.fleet.entries[chosen - 1]
        others = [e for e in self.fleet.entries if e is not cut_off]
        cut_off.network.cut(cuttable_network.CUTS[name])
        loads = [
            entry.call_for(CUT_S, path, INTERVAL_S)
            for entry in (cut_off, *others)
            for path in cut_off_case.PATHS
        ]
        answers = await asyncio.gather(*loads)
        for seen in sum(answers[len(cut_off_case.PATHS) :], []):
            self.assertEqual(seen.status, 200, seen)

    async def test_others_are_served_if_the_placing_vm_is_refused(self):
        await self.check_others('refused', True)

    async def test_others_are_served_if_the_placing_vm_hangs(self):
        await self.check_others('hanging', True)

    async def test_others_are_served_if_another_vm_is_refused(self):
        await self.check_others('refused', False)

    async def test_others_are_served_if_another_vm_hangs(self):
        await self.check_others('hanging', False)
