"""Stand-ins that announce themselves as backend servers."""

import asyncio
import contextlib
import dataclasses
import time

from bulrushrudder.config import settings
from bulrushrudder.standins import announcer
from bulrushrudder.standins import engine
from bulrushrudder.standins import service
from bulrushrudder.utils import ports
from bulrushrudder.utils import tasks
from bulrushrudder.utils import web

RENEWAL_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True)
class RunningStandin:
    """A stand-in with its listener and its announcements.

    :param standin: the Engine or Service behind the listener.
    :param content: the content of its announcements.
    :param stack: closes the listener and ends the announcements.
    """

    standin: object
    content: dict
    stack: contextlib.AsyncExitStack


class StandinServers:
    """Starts, stops and crashes stand-ins.

    :param urls: base URLs of the backend APIs, tried in this order.
    :param secret: the secret of backend servers, as text.
    """

    def __init__(self, session, urls, secret):
        self._session = session
        self._urls = urls
        self._secret = secret
        self.by_id = {}

    async def start(self, server_id, kind, serves):
        """Start a stand-in, or restart it after a crash.

        A restarted service keeps its record of calls; an engine starts
        empty.
        """
        standin = service.Service() if kind == 'service' else engine.Engine()
        known = self.by_id.get(server_id)
        if known is not None and kind == 'service':
            standin = known.standin
        stack = contextlib.AsyncExitStack()
        address = settings.Address(ports.LOOPBACK, 0)
        port = await web.listen(stack, standin.application(), address)
        content = {
            'id': server_id,
            'incarnation': time.time_ns(),
            'kind': kind,
            'host': ports.LOOPBACK,
            'port': port,
            'zone': 'a',
            'serves': [serves],
            'places': 20,
            'memory_tokens': 400000,
        }
        backend = RunningStandin(standin, content, stack)
        self.by_id[server_id] = backend
        tasks.spawn(stack, self._renew(backend))

    async def crash(self, server_id):
        """Close a stand-in's listener and connections."""
        await self.by_id[server_id].stack.aclose()

    async def leave(self, server_id):
        """Announce that a stand-in leaves; it keeps running."""
        backend = self.by_id[server_id]
        backend.content = {**backend.content, 'leaving': True}
        await self._announce(backend)

    async def stop_all(self):
        """Stop every stand-in."""
        for server_id in self.by_id:
            await self.crash(server_id)

    async def _renew(self, backend):
        while True:
            await self._announce(backend)
            await asyncio.sleep(RENEWAL_INTERVAL_S)

    async def _announce(self, backend):
        leaving = backend.content.get('leaving', False)
        for url in self._urls:
            server_announcer = announcer.Announcer(
                self._session, url, self._secret, backend.content
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    if await server_announcer.announce(leaving):
                        return
