"""Keeps the session of an entry process open."""

import asyncio

from bulrushrudder.state import results
from bulrushrudder.state import sessions

RETRY_DELAY_S = 0.2
CHECK_INTERVAL_S = 1.0


class Session:
    """The session of an entry process in the log.

    :param settings: the Settings of the VM.
    :param owner: the Owner that identifies this process.
    :param view: the View of the log.
    :param control_client: the ControlClient.
    :param is_leaving: function that returns whether the process stops.
    """

    def __init__(self, settings, owner, view, control_client, is_leaving):
        self._settings = settings
        self._owner = owner
        self._view = view
        self._control_client = control_client
        self._is_leaving = is_leaving

    async def keep_open(self):
        """Open the session, and reopen it if the leader expired it."""
        # Only a session found at the start may be replaced; a later one is
        # of a successor.
        replaces = None
        while not self._is_leaving():
            if self._is_open():
                replaces = 0
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            if self._view.confirmed_s is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if replaces is None:
                replaces = self._view.state.sessions.incarnation(
                    self._owner.vm
                )
            command = self._open_command(
                self._settings.entry.hosts_roles, replaces
            )
            match await self._control_client.propose(command):
                case results.Accepted(index=index):
                    await self._control_client.wait_for_index(index)
            await asyncio.sleep(RETRY_DELAY_S)

    async def offer_no_roles(self):
        """Say that the VM hosts no roles for the fleet any more."""
        await self._control_client.propose(self._open_command(False))

    async def close(self):
        """Close the session; other VMs cancel the attempts that are left."""
        await self._control_client.propose(sessions.CloseSession(self._owner))

    def _open_command(self, hosts_roles, replaces=0):
        """Return the command that opens the session of this process.

        :param hosts_roles: whether the VM hosts roles for the fleet.
        :param replaces: incarnation of the session that it may replace.
        """
        entry_settings = self._settings.entry
        return sessions.OpenSession(
            owner=self._owner,
            zone=self._settings.zone,
            address=entry_settings.inner.host,
            port=entry_settings.inner.port,
            hosts_roles=hosts_roles,
            replaces=replaces,
            seen_index=self._view.index,
        )

    def _is_open(self):
        held = self._view.state.sessions.by_vm.get(self._owner.vm)
        return held is not None and held.owner == self._owner
