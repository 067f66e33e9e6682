"""Where backend servers announce themselves to an entry process."""

from aiohttp import web
import pydantic

from bulrushrudder.core import ids
from bulrushrudder.engines import wire
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.placement import events
from bulrushrudder.state import servers
from bulrushrudder.utils import authentication
from bulrushrudder.utils import web as web_utils

MAX_ANNOUNCEMENT_BYTES = 64 * 1024


class Operations:
    """Handlers of the operations interface.

    :param observing: the Observing of this process.
    :param view: the View of the log.
    :param coordinators: the Coordinators, which take reports.
    :param secret: what backend servers present.
    """

    def __init__(self, observing, view, coordinators, secret):
        self._observing = observing
        self._view = view
        self._coordinators = coordinators
        self._secret = secret

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=MAX_ANNOUNCEMENT_BYTES,
            middlewares=[web_utils.json_errors],
        )
        app.router.add_post('/announce', self._announce)
        app.router.add_post('/report', self._report)
        return app

    async def _announce(self, request):
        if not authentication.presents_secret(request, self._secret):
            log.emit(catalogue.BACKEND_DENIED, peer=str(request.remote))
            return _problem(401, 'the backends secret is wrong')
        try:
            found = wire.Announcement.model_validate_json(await request.read())
        except pydantic.ValidationError as error:
            return _problem(422, web_utils.format_first_error(error))
        command = servers.JoinServer(_server(found))
        taken = await self._observing.announce(command, found.leaving)
        if not taken:
            return _problem(503, 'no control process can be reached')
        return web.json_response({'renewed': not found.leaving})

    async def _report(self, request):
        """Pass an engine's report on to the coordinators it concerns."""
        if not authentication.presents_secret(request, self._secret):
            log.emit(catalogue.BACKEND_DENIED, peer=str(request.remote))
            return _problem(401, 'the backends secret is wrong')
        try:
            found = wire.Report.model_validate_json(await request.read())
        except pydantic.ValidationError as error:
            return _problem(422, web_utils.format_first_error(error))
        server = self._view.state.servers.by_id.get(found.id)
        if server is None or server.incarnation != found.incarnation:
            return _problem(409, 'this incarnation is not announced')
        await self._coordinators.report_load(server.serves, _load(found))
        for event in found.cache_events:
            change = _cache_change(found, event)
            await self._coordinators.report_cache(server.serves, change)
        return web.json_response({'noted': True})


def _load(found):
    return events.LoadReported(
        server=ids.ServerId(found.id),
        incarnation=found.incarnation,
        sequence=found.sequence,
        running=found.running,
        step_s=found.step_s,
        tokens_per_s=found.tokens_per_s,
    )


def _cache_change(found, event):
    return events.CacheChanged(
        server=ids.ServerId(found.id),
        incarnation=found.incarnation,
        sequence=event.sequence,
        stored=tuple(int(digest, 16) for digest in event.stored),
        removed=tuple(int(digest, 16) for digest in event.removed),
    )


def _problem(status, problem):
    return web.json_response({'problem': problem}, status=status)


def _server(found):
    return servers.BackendServer(
        id=ids.ServerId(found.id),
        incarnation=found.incarnation,
        kind=found.kind,
        host=found.host,
        port=found.port,
        zone=ids.Zone(found.zone),
        serves=tuple(found.serves),
        places=found.places,
        memory_tokens=found.memory_tokens,
        link_tokens_per_s=found.link_tokens_per_s,
        checks_fencing=found.checks_fencing,
    )
