"""Answers operators who ask what would become of a request."""

import asyncio

from bulrushrudder.core import units
from bulrushrudder.placement import explanation
from bulrushrudder.protocol import explain_messages


class Explainer:
    """Explains decisions on the state of this process, without an effect.

    :param owner: the Owner that identifies this process.
    :param view: the View of the log.
    :param coordinator_client: the CoordinatorClient.
    :param router: the ServiceRouter.
    :param monitor: the BackpressureMonitor.
    """

    def __init__(self, owner, view, coordinator_client, router, monitor):
        self._owner = owner
        self._view = view
        self._coordinator_client = coordinator_client
        self._router = router
        self._monitor = monitor

    def explain(self, message):
        """Return the Explained message for an ExplainRequest."""
        now_s = asyncio.get_running_loop().time()
        if message.place is None:
            explained = self._explain_service(message.pool, now_s)
        else:
            explained = self._coordinator_client.explain(message.place)
        return explain_messages.Explained(
            explained,
            self._owner.vm,
            self._view.index,
            (self._view.age_ms(now_s) or 0) / units.MS_PER_SECOND,
        )

    def _explain_service(self, service, now_s):
        by_id = self._router.servers(service)
        return explanation.explain_service(
            self._router.known_selector(service),
            [s for s in by_id.values() if s.kind == 'service'],
            self._monitor.requests_per_s,
            frozenset(
                server.id
                for server in by_id.values()
                if not self._monitor.takes_work(server)
            ),
            now_s,
        )
