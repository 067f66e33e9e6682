"""Proposes how many servers of each pool run as prefill servers."""

import asyncio

from bulrushrudder.state import pool_targets

CHECK_INTERVAL_S = 1.0


class PoolBalancer:
    """Proposes the prefill counts that this VM's coordinators want.

    The leader reads the committed counts and orders servers to change kind.

    :param view: the View of the log.
    :param coordinators: the Coordinators.
    :param observing: the Observing, which proposes commands.
    """

    def __init__(self, view, coordinators, observing):
        self._view = view
        self._coordinators = coordinators
        self._observing = observing

    async def run(self):
        """Propose changed counts until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            wanted = self._coordinators.wanted_prefills_by_model()
            for model, prefills in wanted.items():
                known = self._view.state.pool_targets.prefills_by_model.get(
                    model
                )
                if prefills is not None and prefills != known:
                    command = pool_targets.SetPrefillTarget(model, prefills)
                    await self._observing.propose(command)
