import dataclasses
import types
import unittest

from aiohttp import test_utils

from bulrushrudder.documents import lookups
from bulrushrudder.metrics import control as metrics_control
from bulrushrudder.platform import configuration
from bulrushrudder.platform import control_api
from bulrushrudder.protocol import codec
from bulrushrudder.state import documents
from bulrushrudder.state import machine
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import platform

PATH = '/bulrushrudder/instances/i-1'


class RestartedNode:
    """A node whose state lags behind the log until a quorum round.

    :param has_quorum: whether the round succeeds.
    """

    def __init__(self, has_quorum=True):
        self.state = machine.State()
        self._has_quorum = has_quorum

    async def read_index(self):
        if not self._has_quorum:
            return None
        source = platform.encoded(platform.CONFIGURATION)
        document = configuration.read(source).unwrap()
        adopt = documents.AdoptDocument(document, source, 'd1', 'operator')
        self.state.apply(1, adopt)
        return 1


class HeartbeatTests(unittest.IsolatedAsyncioTestCase):
    async def send_heartbeat(self, node, knows_cold=False):
        """Send a heartbeat; return the status and the announced servers."""
        announced = []

        async def announce(message):
            match codec.decode(message.server).unwrap():
                case servers.JoinServer(server=server):
                    announced.append(server)
            return True

        control = types.SimpleNamespace(node=node, announce=announce)
        api = control_api.ControlApi(
            control, metrics_control.ControlMetrics(), knows_cold
        )
        async with test_utils.TestClient(
            test_utils.TestServer(api.application())
        ) as client:
            async with client.put(PATH, data=platform.heartbeat()) as response:
                return response.status, announced

    async def test_engine_joins_with_its_memory_after_restart(self):
        status, (server,) = await self.send_heartbeat(RestartedNode())
        self.assertEqual(status, 200)
        self.assertEqual(server.memory_tokens, 37952)
        self.assertGreater(server.link_tokens_per_s, 0)

    # Guards against cold servers that are not held back after an upgrade,
    # until the operator submits another configuration.
    async def test_rate_of_cold_runners_is_read_from_the_submitted_body(self):
        node = RestartedNode()
        content = platform.configuration()
        content['services'][0]['cold_per_s'] = 12.0
        document = configuration.read(platform.encoded(content)).unwrap()
        earlier = dataclasses.replace(
            document,
            services=tuple(
                dataclasses.replace(service, cold_requests_per_s=0.0)
                for service in document.services
            ),
        )
        node.state.apply(
            1,
            documents.AdoptDocument(
                earlier, platform.encoded(content), 'd1', 'operator'
            ),
        )
        _, (server,) = await self.send_heartbeat(node, knows_cold=True)
        self.assertEqual(server.cold_requests_per_s, 12.0)
        _, (server,) = await self.send_heartbeat(node)
        self.assertIsNone(server.cold)

    async def test_heartbeat_is_not_acknowledged_without_quorum(self):
        node = RestartedNode(has_quorum=False)
        self.assertEqual(
            node.state.documents.in_force(control_api._PRODUCTION),
            lookups.EMPTY_DOCUMENT,
        )
        status, announced = await self.send_heartbeat(node)
        self.assertEqual((status, announced), (503, []))


class ConfigurationTests(unittest.IsolatedAsyncioTestCase):
    async def test_configuration_too_large_for_the_log_is_refused(self):
        # Guards against a refusal that operators take for a lack of a
        # leader, so that they send the same configuration again.
        async def adopt_document(document, source, digest, operator):
            return results.Rejected('the change has 17 MB in the log')

        control = types.SimpleNamespace(
            node=RestartedNode(), adopt_document=adopt_document
        )
        api = control_api.ControlApi(
            control, metrics_control.ControlMetrics(), False
        )
        async with test_utils.TestClient(
            test_utils.TestServer(api.application())
        ) as client:
            async with client.put(
                '/bulrushrudder/config',
                data=platform.encoded(platform.CONFIGURATION),
            ) as response:
                content = await response.json()
        self.assertEqual(response.status, 413)
        self.assertEqual(content['problem'], 'the change has 17 MB in the log')
