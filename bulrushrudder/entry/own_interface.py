"""The built-in interface to callers and backend servers.

The settings select it by the name `own`.
"""

import aiohttp

from bulrushrudder.engines import client
from bulrushrudder.engines import connection_pool
from bulrushrudder.engines import network as engines_network
from bulrushrudder.engines import services as plain_services
from bulrushrudder.entry import backend_api
from bulrushrudder.entry import frontend
from bulrushrudder.utils import client_limits
from bulrushrudder.utils import http_listener
from bulrushrudder.utils import sockets
from bulrushrudder.utils import web

# Longer than any answer takes while its caller keeps reading.
ANSWER_DRAIN_TIMEOUT_S = 60.0


class OwnInterface:
    """Listeners and clients for the built-in protocols."""

    async def clients(
        self, stack, settings, record_statements, network, permit=None
    ):
        """Return the EngineClient and the ServiceClient.

        :param stack: an AsyncExitStack that owns their connections.
        :param settings: the Settings of the VM.
        :param record_statements: not used, as servers state nothing about
            themselves in the built-in protocol.
        :param network: not used, as paths are not watched.
        :param permit: not used, as servers are never cold in the built-in
            protocol.
        """
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=True,
            socket_factory=sockets.create_client_socket,
        )
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=connector, auto_decompress=False)
        )
        pool = connection_pool.ConnectionPool(
            id_header='',
            network_=engines_network.DirectNetwork(
                plain_services.CONNECT_TIMEOUT_S
            ),
            max_kept_bytes=client_limits.replies_bytes(settings.limits),
        )
        stack.callback(pool.close)
        return (
            client.EngineClient(session),
            plain_services.ServiceClient(pool),
        )

    async def listen(self, stack, settings, entry):
        """Listen for callers and backend servers.

        :returns: the HttpListener for callers.

        :param stack: an AsyncExitStack that owns the listeners.
        :param settings: the Settings of the VM.
        :param entry: the EntryProcess.
        """
        callers_api = frontend.Frontend(entry.services)
        callers = http_listener.HttpListener(
            callers_api.application(),
            http_listener.Options(
                cancel_handlers=True,
                closes_connections=lambda: entry.services.leaving,
                shutdown_timeout_s=ANSWER_DRAIN_TIMEOUT_S,
                ledger=entry.ledger,
            ),
        )
        await callers.open(stack, settings.entry.callers)
        backends = backend_api.BackendApi(
            entry.control_client,
            entry.view,
            entry.coordinator_client,
            settings.secrets.backends,
        )
        await web.listen(
            stack,
            backends.application(),
            settings.entry.backends,
            http_listener.Options(
                limits=client_limits.of_vm(
                    settings.limits, client_limits.BACKENDS_SHARE
                )
            ),
        )
        return callers
