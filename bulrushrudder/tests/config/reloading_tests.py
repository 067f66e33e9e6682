import asyncio
import pathlib
import tempfile
import unittest

from bulrushrudder.config import reloading
from bulrushrudder.config import settings_file

TEXT = """\
vm: edge-1
zone: a
interface: platform
seeds:
  addresses: [{seeds}]
  inner_port: 7600
entry:
  callers: "127.0.0.1:8221"
  ready: "127.0.0.1:8224"
  inner: "127.0.0.1:7600"
  metrics: "127.0.0.1:7602"
"""
BOUND_S = 5.0


class ReloadingTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.file = pathlib.Path(folder) / 'settings.yaml'
        self.write('"10.0.0.1:8229"')
        self.found = settings_file.load(self.file).unwrap()
        self.seen = []
        self.reloading = reloading.Reloading(self.found, self.seen.append)
        task = asyncio.create_task(self.reloading.run())
        self.addCleanup(task.cancel)

    def write(self, seeds):
        self.file.write_text(TEXT.format(seeds=seeds))

    async def until_seen(self, count):
        async with asyncio.timeout(BOUND_S):
            while len(self.seen) < count:
                await asyncio.sleep(0.02)

    async def test_seeds_lead_to_the_inner_port(self):
        (address,) = self.found.controls
        self.assertEqual(str(address), '10.0.0.1:7600')
        self.assertTrue(self.found.seeded)

    async def test_a_signal_has_the_file_read(self):
        self.write('"10.0.0.2:8229"')
        self.reloading.wake()
        await self.until_seen(1)
        self.assertEqual(str(self.seen[0].controls[0]), '10.0.0.2:7600')

    async def test_a_change_is_noticed_without_a_signal(self):
        self.write('"10.0.0.2:8229","10.0.0.3:8229"')
        await self.until_seen(1)
        self.assertEqual(len(self.seen[0].controls), 2)

    async def test_a_file_with_mistakes_changes_nothing(self):
        self.file.write_text('vm: [')
        self.reloading.wake()
        await asyncio.sleep(0.2)
        self.assertEqual(self.seen, [])
        self.write('"10.0.0.4:8229"')
        self.reloading.wake()
        await self.until_seen(1)
        self.assertEqual(str(self.seen[0].controls[0]), '10.0.0.4:7600')
