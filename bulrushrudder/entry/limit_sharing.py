"""Commits the limits of backend servers, so that every VM knows them."""

import asyncio

from bulrushrudder.state import servers

CHECK_INTERVAL_S = 0.5


class LimitSharing:
    """Proposes the limits that the coordinators on this VM know.

    A VM that has just started, and the next coordinator, find them in the
    log.

    :param view: the View of the log.
    :param coordinator_client: the CoordinatorClient.
    :param control_client: the ControlClient, which proposes commands.
    """

    def __init__(self, view, coordinator_client, control_client):
        self._view = view
        self._coordinator_client = coordinator_client
        self._control_client = control_client

    async def run(self):
        """Propose changed limits until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for command in self._changes():
                await self._control_client.propose(command)

    def _changes(self):
        """Return the commands for limits that differ from the view."""
        table = self._view.state.servers
        limits_by_model = self._coordinator_client.limits_by_model()
        return [
            servers.SetServerLimit(server_id, incarnation, requests_per_s)
            for limits_by_id in limits_by_model.values()
            for server_id, (
                incarnation,
                requests_per_s,
            ) in limits_by_id.items()
            if (known := table.by_id.get(server_id)) is not None
            and known.incarnation == incarnation
            and table.requests_per_s(known) != requests_per_s
        ]
