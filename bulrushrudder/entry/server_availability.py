"""Which backend servers of a model a request may use."""

import asyncio

from bulrushrudder.core import outcomes

LEAVING_RETRY_AFTER_S = 1.0
EVACUATED_RETRY_AFTER_S = 1.0


class ServerAvailability:
    """What this VM knows about the servers of a model.

    :param services: the SharedServices of this process.
    :param model: id of the model.
    """

    def __init__(self, services, model):
        self._services = services
        self._model = model

    def avoided(self):
        """Return the ids of the servers that placement must not choose.

        They could not be reached lately, or take no work of this VM.
        """
        candidates = self._candidates()
        unreachable = self._services.reachability.servers_to_avoid(
            candidates.values(), asyncio.get_running_loop().time()
        )
        unavailable = self._services.backpressure.unavailable(candidates)
        return (*unreachable, *unavailable)

    def refusal(self):
        """Return a Refusal if no decode server takes work of this VM.

        :returns: None if one takes work, or if there is none at all.
        """
        if self._is_evacuated():
            return outcomes.not_run(
                outcomes.Reason.NO_SERVER,
                'the zones of all decode servers of the model are evacuated',
                EVACUATED_RETRY_AFTER_S,
            )
        decodes = [
            server
            for server in self._candidates().values()
            if server.kind == 'decode'
        ]
        backpressure = self._services.backpressure
        if not decodes or any(map(backpressure.takes_work, decodes)):
            return None
        return outcomes.not_run(
            outcomes.Reason.NO_SERVER,
            'all decode servers of the model are leaving or pause',
            backpressure.retry_after_s(decodes) or LEAVING_RETRY_AFTER_S,
        )

    def takes_work(self, server):
        """Return whether a granted server, or None, still takes work.

        It may have left, or its zone may have been evacuated, since the
        grant, during a long prefill.
        """
        if server is None:
            return False
        table = self._services.view.state.servers
        if table.has_departed(server.id, server.incarnation):
            return False
        if not table.takes_requests(server):
            return False
        return self._services.backpressure.takes_work(server)

    def is_evacuated(self, server):
        """Return whether the zone of a server, or None, is evacuated."""
        table = self._services.view.state.servers
        return server is not None and not table.takes_requests(server)

    def _is_evacuated(self):
        """Return whether all decode servers are in evacuated zones."""
        evacuated = self._services.view.state.servers.evacuated_by_served
        return any(
            server.kind == 'decode'
            for server in evacuated.get(self._model, {}).values()
        ) and not any(
            server.kind == 'decode' for server in self._candidates().values()
        )

    def _candidates(self):
        servers = self._services.view.state.servers
        return servers.by_served.get(self._model, {})
