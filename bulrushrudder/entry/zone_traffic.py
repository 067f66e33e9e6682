"""Counts the bytes that a VM's requests send between zones."""

from bulrushrudder.lifecycle import events
from bulrushrudder.placement import crossing

NO_SERVER = 'no_server'
PLACEMENT = 'placement'
LOST_PATH = 'lost_path'


def count_tunnel(metrics, size):
    """Count a tunnel that leads through another zone than its ends.

    :param metrics: the EntryMetrics.
    :param size: bytes that crossed zones because of it.
    """
    metrics.count_crossing('tunnel', LOST_PATH)
    metrics.count_crossing_bytes('tunnel', LOST_PATH, size)


class RequestTraffic:
    """Counts the legs of one request to a model.

    :param job: the lifecycle Job.
    :param services: the SharedServices of this process.
    """

    def __init__(self, job, services):
        self._job = job
        self._services = services
        session = services.view.state.sessions.by_vm.get(services.owner.vm)
        self._zone = session.zone if session else None
        self._answer_reason = None

    def prefill(self, server):
        """Count the prompt that is sent to a prefill server."""
        self._count('prompt', self._zone, server, self._sizes().prompt)

    def decode(self, server, source):
        """Count what the decode server gets.

        :param source: the prefill server, None if the decode server reads
            the prompt.
        """
        if source is None:
            self._count('prompt', self._zone, server, self._sizes().prompt)
        else:
            self._count('cache', source.zone, server, self._sizes().cache)
        crosses = self._zone is not None and self._zone != server.zone
        self._answer_reason = self._reason(server) if crosses else None

    def answer(self, batch):
        """Count the tokens of a batch of events."""
        if self._answer_reason is None:
            return
        size = sum(
            len(event.text)
            for event in batch
            if isinstance(event, events.TokenArrived)
        )
        if size:
            self._services.metrics.count_crossing_bytes(
                'answer', self._answer_reason, size
            )

    def _count(self, traffic, origin, server, size):
        if origin is None or origin == server.zone:
            return
        reason = self._reason(server)
        self._services.metrics.count_crossing(traffic, reason)
        self._services.metrics.count_crossing_bytes(traffic, reason, size)

    def _reason(self, server):
        """Return why a server of another zone is used."""
        by_id = self._services.view.state.servers.by_served.get(
            self._job.model, {}
        )
        local = any(
            known.zone == self._zone and known.kind == server.kind
            for known in by_id.values()
        )
        return PLACEMENT if local else NO_SERVER

    def _sizes(self):
        return crossing.request_bytes(
            self._services.costs, self._job.prompt_tokens, 0
        )
