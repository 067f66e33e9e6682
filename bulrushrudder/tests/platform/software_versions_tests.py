import asyncio
import re
import unittest

import aiohttp

from bulrushrudder.tests.builders import platform
from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import versioned_engines

TIMEOUT_S = 30.0
FIRST = '00000000000000a1'
SECOND = '00000000000000a2'
# Time in which the control processes learn where a stream began.
RECORD_S = 0.3


class SoftwareVersionTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(platform_fleet.running())
        content = platform.configuration()
        status = await self.fleet.put_configuration(content)
        self.assertEqual(status, 200)
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version == 7
        )
        self.engines = versioned_engines.VersionedEngines(self.fleet)

    async def start(self, **versions_by_id):
        await self.engines.start(versions_by_id)
        announcing = asyncio.create_task(self.engines.keep_announcing())
        self.addCleanup(announcing.cancel)

    async def stream(self, attempt, **headers):
        """Call for a stream.

        :returns: status, versions of its events, and whether it is whole.
        """
        received = b''
        status = None
        headers = {'Attempt-Id': attempt, **headers}
        try:
            async with asyncio.timeout(TIMEOUT_S):
                async with self.fleet.call(
                    '/drafts/1', headers=headers
                ) as response:
                    status = response.status
                    async for data in response.content.iter_any():
                        received += data
            whole = status == 200
        except aiohttp.ClientError:
            whole = False
        versions = re.findall(rb'data: (\S+)', received)
        return status, [version.decode() for version in versions], whole

    async def take_up(self, last_event):
        return await self.stream(
            SECOND, **{'Last-Event-Id': str(last_event), 'Resumes': FIRST}
        )

    async def begin_broken_stream(self):
        """Begin a stream at v1 that breaks off; return its event count."""
        self.engines.breaking = {'a'}
        _, versions, whole = await self.stream(FIRST)
        self.assertFalse(whole)
        self.assertEqual(set(versions), {'v1'})
        return len(versions)

    async def test_broken_stream_does_not_go_on_at_another_version(self):
        await self.start(a='v1', b='v2')
        for number in range(6):
            self.engines.breaking = {'a', 'b'} if number % 2 else {'a'}
            _, versions, _ = await self.stream(f'{number:016x}')
            self.assertEqual(len(set(versions)), 1, versions)

    async def test_broken_stream_goes_on_at_its_own_version(self):
        await self.start(a='v1', b='v1', c='v2')
        self.engines.breaking = {'a'}
        for number in range(6):
            _, versions, whole = await self.stream(f'{number:016x}')
            self.assertTrue(whole)
            self.assertEqual(len(set(versions)), 1, versions)
            self.assertEqual(len(versions), versioned_engines.LAST_EVENT)

    async def test_taken_up_stream_does_not_go_on_at_another_version(self):
        await self.start(a='v1')
        count = await self.begin_broken_stream()
        await self.engines.add('b', 'v2')
        await self.engines.leave('a')
        status, versions, _ = await self.take_up(count)
        self.assertEqual((status, versions), (503, []))

    async def test_restarted_entry_resumes_at_the_version_that_began(self):
        await self.start(a='v1', b='v2')
        self.engines.breaking = {'a', 'b'}
        _, versions, _ = await self.stream(FIRST)
        await asyncio.sleep(RECORD_S)
        await self.fleet.restart_entry()
        self.engines.breaking = set()
        status, resumed, whole = await self.take_up(len(versions))
        self.assertEqual((status, whole), (200, True))
        self.assertEqual(set(resumed), set(versions))

    async def test_version_that_left_is_remembered_by_restarted_entry(self):
        await self.start(a='v1')
        count = await self.begin_broken_stream()
        await self.engines.add('b', 'v2')
        await asyncio.sleep(RECORD_S)
        await self.engines.leave('a')
        await self.fleet.restart_entry()
        status, versions, _ = await self.take_up(count)
        self.assertEqual((status, versions), (503, []))

    async def test_stream_of_unknown_origin_is_refused_while_versions_mix(
        self,
    ):
        await self.start(a='v1', b='v2')
        status, _, _ = await self.take_up(2)
        self.assertEqual(status, 503)

    async def test_stream_of_unknown_origin_goes_on_at_the_only_version(self):
        await self.start(a='v1', b='v1')
        status, versions, whole = await self.take_up(2)
        self.assertEqual((status, whole), (200, True))
        self.assertEqual(versions, ['v1'] * 3)
