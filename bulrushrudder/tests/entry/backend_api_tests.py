import unittest

from aiohttp import test_utils

from bulrushrudder.documents import types
from bulrushrudder.entry import backend_api
from bulrushrudder.observers import view
from bulrushrudder.placement import events
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet

SECRET = b'secret'
HEADERS = {'Authorization': 'Bearer secret'}


class CoordinatorRecorder:
    """Records the reports that are forwarded to coordinators."""

    def __init__(self):
        self.forwarded = []

    async def report_load(self, models, report):
        self.forwarded.append((models, report))

    async def report_cache(self, models, change):
        self.forwarded.append((models, change))


class ReportTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        view_ = view.View(types.Environment.PRODUCTION)
        view_.state.servers.apply(1, servers.JoinServer(fleet.server()))
        self.recorder = CoordinatorRecorder()
        api = backend_api.BackendApi(None, view_, self.recorder, SECRET)
        server = test_utils.TestServer(api.application())
        self.client = test_utils.TestClient(server)
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def post(self, headers=HEADERS, **changes):
        content = {'id': 'decode-1', 'incarnation': 1, 'sequence': 7}
        response = await self.client.post(
            '/report', json={**content, **changes}, headers=headers
        )
        return response.status

    async def test_forwards_load_and_cache_events(self):
        event = {'sequence': 3, 'stored': ['ff'], 'removed': ['a0']}
        status = await self.post(running=4, step_s=0.05, cache_events=[event])
        self.assertEqual(status, 200)
        models = ('drafting',)
        self.assertEqual(
            self.recorder.forwarded,
            [
                (
                    models,
                    events.LoadReported('decode-1', 1, 7, 4, 0.05, 0.0),
                ),
                (
                    models,
                    events.CacheChanged('decode-1', 1, 3, (255,), (160,)),
                ),
            ],
        )

    async def test_refuses_unannounced_invalid_and_unauthenticated_reports(
        self,
    ):
        self.assertEqual(await self.post(incarnation=2), 409)
        self.assertEqual(await self.post(id='other'), 409)
        self.assertEqual(await self.post(running=-1), 422)
        self.assertEqual(await self.post(headers={}), 401)
        self.assertEqual(self.recorder.forwarded, [])


if __name__ == '__main__':
    unittest.main()
