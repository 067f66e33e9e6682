"""Finds and asks the VM that plays a role.

Roles are placed by highest random weight over the open sessions of the
VMs that take roles.
"""

from returns import result

from bulrushrudder.config import settings
from bulrushrudder.core import outcomes
from bulrushrudder.core import ranking

MARGIN_S = 2.0


class Directory:
    """Reaches the VM that plays a role.

    :param view: the View of the log.
    :param owner: this process.
    :param peers: links to other entry processes.
    """

    def __init__(self, view, owner, peers):
        self._view = view
        self._owner = owner
        self._peers = peers

    async def ask(self, key, question, patience_s, serve):
        """Ask whoever plays a role.

        :param key: names the role.
        :param patience_s: seconds that the answer may take.
        :param serve: coroutine function that answers on this VM.
        :returns: the answer, or a LinkError.
        """
        address = self._address_of(key)
        if address is None:
            return result.Success(await serve(question))
        return await self._peers.ask(address, question, patience_s + MARGIN_S)

    async def tell(self, key, message, serve):
        """Tell whoever plays a role.

        :param serve: coroutine function that takes it on this VM.
        """
        address = self._address_of(key)
        if address is None:
            await serve(message)
            return
        await self._peers.tell(address, message)

    def in_charge(self, key):
        """Return the VM that plays a role, or None."""
        return ranking.choose(key, self._view.state.sessions.hosts_by_vm)

    def _address_of(self, key):
        """Return the address of the VM in charge, None for this one."""
        chosen = self.in_charge(key)
        if chosen is None or chosen == self._owner.vm:
            return None
        session = self._view.state.sessions.hosts_by_vm[chosen]
        return settings.Address(session.address, session.port)


def unreachable(what):
    """Return the refusal where a role's VM gives no answer."""
    reason = outcomes.Reason.CONTROL_UNREACHABLE
    detail = f'{what} cannot be reached'
    return result.Failure(outcomes.not_run(reason, detail, 1.0))
