"""The HTTP API for backend servers: announcements and reports."""

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


class BackendApi:
    """Request handlers of the HTTP API for backend servers.

    :param control_client: the ControlClient of this process.
    :param view: the View of the log.
    :param coordinator_client: the CoordinatorClient, which forwards reports.
    :param secret: the secret that backend servers present, as bytes.
    """

    def __init__(self, control_client, view, coordinator_client, secret):
        self._control_client = control_client
        self._view = view
        self._coordinator_client = coordinator_client
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
            return _problem(401, 'the backends secret is missing or wrong')
        try:
            announcement = wire.Announcement.model_validate_json(
                await request.read()
            )
        except pydantic.ValidationError as error:
            return _problem(422, web_utils.format_first_error(error))
        command = servers.JoinServer(_server(announcement))
        accepted = await self._control_client.announce(
            command, announcement.leaving
        )
        if not accepted:
            return _problem(
                503, 'no control process accepted the announcement'
            )
        return web.json_response({'renewed': not announcement.leaving})

    async def _report(self, request):
        """Forward an engine's report to the coordinators of its models."""
        if not authentication.presents_secret(request, self._secret):
            log.emit(catalogue.BACKEND_DENIED, peer=str(request.remote))
            return _problem(401, 'the backends secret is missing or wrong')
        try:
            report = wire.Report.model_validate_json(await request.read())
        except pydantic.ValidationError as error:
            return _problem(422, web_utils.format_first_error(error))
        server = self._view.state.servers.by_id.get(report.id)
        if server is None or server.incarnation != report.incarnation:
            return _problem(
                409, 'this incarnation of the server is not announced'
            )
        await self._coordinator_client.report_load(
            server.serves, _load(report)
        )
        for event in report.cache_events:
            change = _cache_change(report, event)
            await self._coordinator_client.report_cache(server.serves, change)
        return web.json_response({'noted': True})


def _load(report):
    return events.LoadReported(
        server=ids.ServerId(report.id),
        incarnation=report.incarnation,
        sequence=report.sequence,
        running=report.running,
        step_s=report.step_s,
        tokens_per_s=report.tokens_per_s,
    )


def _cache_change(report, event):
    return events.CacheChanged(
        server=ids.ServerId(report.id),
        incarnation=report.incarnation,
        sequence=event.sequence,
        stored=tuple(int(digest, 16) for digest in event.stored),
        removed=tuple(int(digest, 16) for digest in event.removed),
    )


def _problem(status, problem):
    return web.json_response({'problem': problem}, status=status)


def _server(announcement):
    return servers.BackendServer(
        id=ids.ServerId(announcement.id),
        incarnation=announcement.incarnation,
        kind=announcement.kind,
        host=announcement.host,
        port=announcement.port,
        zone=ids.Zone(announcement.zone),
        serves=tuple(announcement.serves),
        places=announcement.places,
        memory_tokens=announcement.memory_tokens,
        link_tokens_per_s=announcement.link_tokens_per_s,
        checks_fencing=announcement.checks_fencing,
    )
