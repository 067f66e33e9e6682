"""Finds and asks the VM that plays a role.

Roles are placed by highest random weight over the open sessions of the
VMs that take roles.
"""

import asyncio

from returns import result

from bulrushrudder.config import settings
from bulrushrudder.core import outcomes
from bulrushrudder.core import ranking
from bulrushrudder.events import catalogue
from bulrushrudder.events import log

MARGIN_S = 2.0
# How often a VM is tried again that could not be reached.
PROBE_S = 0.5
# The start of the keys of roles whose state is soft.
SOFT = 'model/'


class Directory:
    """Reaches the VM that plays a role.

    Roles whose state is soft move to the next VM as soon as this one
    cannot reach the first; two VMs that play one cost speed, never a
    promise.

    :param view: the View of the log.
    :param owner: this process.
    :param peers: links to other entry processes.
    :ivar changes: counts how often a VM was left out or taken back.
    """

    def __init__(self, view, owner, peers):
        self._view = view
        self._owner = owner
        self._peers = peers
        self.changes = 0
        self._suspects = {}
        self._probes = set()

    async def ask(self, key, question, patience_s, serve):
        """Ask whoever plays a role.

        :param key: names the role.
        :param patience_s: seconds that the answer may take.
        :param serve: coroutine function that answers on this VM.
        :returns: the answer, or a LinkError.
        """
        chosen = self.in_charge(key)
        address = self._address_of(chosen)
        if address is None:
            return result.Success(await serve(question))
        answer = await self._peers.ask(
            address, question, patience_s + MARGIN_S
        )
        if isinstance(answer, result.Failure):
            self._suspect(chosen, address)
        return answer

    async def tell(self, key, message, serve):
        """Tell whoever plays a role.

        :param serve: coroutine function that takes it on this VM.
        """
        address = self._address_of(self.in_charge(key))
        if address is None:
            await serve(message)
            return
        await self._peers.send(address, message)

    def in_charge(self, key):
        """Return the VM that plays a role, or None."""
        hosts = self._view.state.sessions.hosts_by_vm
        if key.startswith(SOFT) and self._suspects:
            left = [vm for vm in hosts if not self._is_suspect(vm)]
            if left:
                return ranking.choose(key, left)
        return ranking.choose(key, hosts)

    def _is_suspect(self, vm):
        """Return whether this run of a VM could not be reached."""
        held = self._view.state.sessions.by_vm.get(vm)
        return held is not None and self._suspects.get(vm) == held.owner

    def _suspect(self, vm, address):
        """Leave a VM out until it can be reached or has started anew."""
        held = self._view.state.sessions.by_vm.get(vm)
        if held is None or self._suspects.get(vm) == held.owner:
            return
        self._suspects[vm] = held.owner
        self.changes += 1
        log.emit(catalogue.PEER_SUSPECTED, peer=vm)
        task = asyncio.create_task(self._probe(vm, address))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe(self, vm, address):
        while self._is_suspect(vm):
            await asyncio.sleep(PROBE_S)
            if await self._peers.can_reach(address):
                break
        self._suspects.pop(vm, None)
        self.changes += 1
        log.emit(catalogue.PEER_REACHED, peer=vm)

    def _address_of(self, chosen):
        """Return the address of a VM, None for this one."""
        if chosen is None or chosen == self._owner.vm:
            return None
        session = self._view.state.sessions.hosts_by_vm[chosen]
        return settings.Address(session.address, session.port)


def unreachable(what):
    """Return the refusal where a role's VM gives no answer."""
    reason = outcomes.Reason.CONTROL_UNREACHABLE
    detail = f'{what} cannot be reached'
    return result.Failure(outcomes.not_run(reason, detail, 1.0))
