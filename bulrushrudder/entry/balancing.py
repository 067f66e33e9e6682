"""Proposes how many servers of each pool run as prefill servers."""

import asyncio

from bulrushrudder.state import pool_targets

CHECK_INTERVAL_S = 1.0


class PoolBalancer:
    """Proposes the prefill counts that this VM's coordinators want.

    The leader reads the committed counts and orders servers to change kind.

    :param view: the View of the log.
    :param coordinator_client: the CoordinatorClient.
    :param control_client: the ControlClient, which proposes commands.
    """

    def __init__(self, view, coordinator_client, control_client):
        self._view = view
        self._coordinator_client = coordinator_client
        self._control_client = control_client

    async def run(self):
        """Propose changed counts until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            wanted = self._coordinator_client.wanted_prefills_by_model()
            for model, prefills in wanted.items():
                known = self._view.state.pool_targets.prefills_by_model.get(
                    model
                )
                if prefills is not None and prefills != known:
                    command = pool_targets.SetPrefillTarget(model, prefills)
                    await self._control_client.propose(command)
