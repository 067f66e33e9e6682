"""Chooses servers of plain services and learns from their answers."""

import asyncio

from returns import result

from bulrushrudder.placement import server_selector

FIRST_SERVER_ERROR = 500


class ServiceServers:
    """Chooses servers, and passes calls on to them.

    :param view: the View of the log.
    :param zone: of this VM.
    :param plain: the ServiceClient that calls go through.
    """

    def __init__(self, view, zone, plain):
        self._view = view
        self._zone = zone
        self._plain = plain
        self._choices_by_service = {}
        self._versions_by_service = {}

    def choose(self, service, tried=()):
        """Return the server for a call to a service, or None.

        :param tried: ids of servers that had the call before.
        """
        choice = self._choice(service)
        server_id = choice.choose(_now_s(), tried)
        return self._view.state.servers.by_id.get(server_id)

    async def call(self, server, call):
        """Pass one call, as ServiceClient does."""
        for service in server.serves:
            choice = self._choice(service)
            choice.record_call_start(server.id, server.incarnation, _now_s())
        worked = None
        try:
            answer = await self._plain.call(server, call)
            worked = _worked(answer)
            return answer
        finally:
            for service in server.serves:
                self._choice(service).record_call_end(
                    server.id, server.incarnation, worked, _now_s()
                )

    def _choice(self, service):
        choice = self._choices_by_service.get(service)
        if choice is None:
            choice = server_selector.ServerSelector(self._zone)
            self._choices_by_service[service] = choice
        servers = self._view.state.servers
        version = servers.versions_by_served.get(service, 0)
        if self._versions_by_service.get(service) != version:
            self._versions_by_service[service] = version
            found = servers.by_served.get(service, {}).values()
            choice.update_servers([s for s in found if s.kind == 'service'])
        return choice


def _worked(answer):
    match answer:
        case result.Success(reply):
            return reply.status < FIRST_SERVER_ERROR
    return False


def _now_s():
    return asyncio.get_running_loop().time()
