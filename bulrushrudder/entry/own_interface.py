"""What the product's own callers and backend servers speak."""

import aiohttp

from bulrushrudder.engines import client
from bulrushrudder.engines import services as plain_services
from bulrushrudder.entry import frontend
from bulrushrudder.entry import operations
from bulrushrudder.utils import sockets
from bulrushrudder.utils import web

# Longer than answers take whose callers read them.
ANSWERS_S = 60.0


class OwnInterface:
    """Listeners and clients of the product's own protocols."""

    async def clients(self, stack):
        """Return the EngineClient and the ServiceClient."""
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=True,
            socket_factory=sockets.create_client_socket,
        )
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=connector, auto_decompress=False)
        )
        return (
            client.EngineClient(session),
            plain_services.ServiceClient(session),
        )

    async def listen(self, stack, settings, entry):
        """Listen for callers and backend servers.

        :param entry: the Entry.
        """
        front = frontend.Frontend(entry.services)
        await web.listen(
            stack,
            front.application(),
            settings.entry.callers,
            cancel_handlers=True,
            shutdown_timeout_s=ANSWERS_S,
        )
        back = operations.Operations(
            entry.observing,
            entry.view,
            entry.coordinators,
            settings.secrets.backends,
        )
        await web.listen(stack, back.application(), settings.entry.backends)
