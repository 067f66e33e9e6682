import asyncio
import pathlib
import tempfile
import unittest

from bulrushrudder.config import settings_file
from bulrushrudder.config import settings_watcher

SETTINGS = """\
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
TIMEOUT_S = 5.0


class SettingsWatcherTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.file = pathlib.Path(folder) / 'settings.yaml'
        self.write('"10.0.0.1:8229"')
        self.settings = settings_file.load(self.file).unwrap()
        self.reloaded = []
        self.watcher = settings_watcher.SettingsWatcher(
            self.settings, self.reloaded.append
        )
        task = asyncio.create_task(self.watcher.run())
        self.addCleanup(task.cancel)

    def write(self, seeds):
        self.file.write_text(SETTINGS.format(seeds=seeds))

    async def wait_until_reloaded(self, count):
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.reloaded) < count:
                await asyncio.sleep(0.02)

    async def test_seeds_give_addresses_with_inner_port(self):
        (address,) = self.settings.controls
        self.assertEqual(str(address), '10.0.0.1:7600')
        self.assertTrue(self.settings.seeded)

    async def test_reloads_at_once_on_request(self):
        self.write('"10.0.0.2:8229"')
        self.watcher.reload_now()
        await self.wait_until_reloaded(1)
        self.assertEqual(str(self.reloaded[0].controls[0]), '10.0.0.2:7600')

    async def test_detects_changed_file_without_request(self):
        self.write('"10.0.0.2:8229","10.0.0.3:8229"')
        await self.wait_until_reloaded(1)
        self.assertEqual(len(self.reloaded[0].controls), 2)

    async def test_keeps_settings_when_file_is_invalid(self):
        self.file.write_text('vm: [')
        self.watcher.reload_now()
        await asyncio.sleep(0.2)
        self.assertEqual(self.reloaded, [])
        self.write('"10.0.0.4:8229"')
        self.watcher.reload_now()
        await self.wait_until_reloaded(1)
        self.assertEqual(str(self.reloaded[0].controls[0]), '10.0.0.4:7600')
