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

REPLY_MARGIN_S = 2.0
# How often a VM is tried again that could not be reached.
PROBE_INTERVAL_S = 0.5
# The start of the keys of roles whose state is soft.
SOFT_STATE_PREFIX = 'model/'


class RoleDirectory:
    """Reaches the VM that plays a role.

    Roles whose state is soft move to the next VM as soon as this one
    cannot reach the first; two VMs that play one cost speed, never a
    promise.

    :param view: the View of the log.
    :param owner: this process.
    :param peers: links to other entry processes.
    :ivar suspicion_changes: counts how often a VM was left out or taken back.
    """

    def __init__(self, view, owner, peers):
        self._view = view
        self._owner = owner
        self._peers = peers
        self.suspicion_changes = 0
        self._suspects_by_vm = {}
        self._probe_tasks = set()

    async def ask(self, key, question, patience_s, serve):
        """Ask whoever plays a role.

        :param key: names the role.
        :param patience_s: seconds that the answer may take.
        :param serve: coroutine function that answers on this VM.
        :returns: the answer, or a LinkError.
        """
        vm = self.host_of(key)
        address = self._remote_address(vm)
        if address is None:
            return result.Success(await serve(question))
        answer = await self._peers.ask(
            address, question, patience_s + REPLY_MARGIN_S
        )
        if isinstance(answer, result.Failure):
            self._add_suspect(vm, address)
        return answer

    async def tell(self, key, message, serve):
        """Tell whoever plays a role.

        :param serve: coroutine function that takes it on this VM.
        """
        address = self._remote_address(self.host_of(key))
        if address is None:
            await serve(message)
            return
        await self._peers.tell(address, message)

    def host_of(self, key):
        """Return the VM that plays a role, or None."""
        hosts = self._view.state.sessions.hosts_by_vm
        if key.startswith(SOFT_STATE_PREFIX) and self._suspects_by_vm:
            reachable = [vm for vm in hosts if not self._is_suspect(vm)]
            if reachable:
                return ranking.choose(key, reachable)
        return ranking.choose(key, hosts)

    def _is_suspect(self, vm):
        """Return whether this run of a VM could not be reached."""
        session = self._view.state.sessions.by_vm.get(vm)
        return (
            session is not None
            and self._suspects_by_vm.get(vm) == session.owner
        )

    def _add_suspect(self, vm, address):
        """Leave a VM out until it can be reached or has started anew."""
        session = self._view.state.sessions.by_vm.get(vm)
        if session is None or self._suspects_by_vm.get(vm) == session.owner:
            return
        self._suspects_by_vm[vm] = session.owner
        self.suspicion_changes += 1
        log.emit(catalogue.PEER_SUSPECTED, peer=vm)
        task = asyncio.create_task(self._probe(vm, address))
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)

    async def _probe(self, vm, address):
        while self._is_suspect(vm):
            await asyncio.sleep(PROBE_INTERVAL_S)
            if await self._peers.reaches(address):
                break
        self._suspects_by_vm.pop(vm, None)
        self.suspicion_changes += 1
        log.emit(catalogue.PEER_REACHED, peer=vm)

    def _remote_address(self, vm):
        """Return the address of a VM, None for this one."""
        if vm is None or vm == self._owner.vm:
            return None
        session = self._view.state.sessions.hosts_by_vm[vm]
        return settings.Address(session.address, session.port)


def unreachable(name):
    """Return the refusal where a role's VM gives no answer."""
    reason = outcomes.Reason.CONTROL_UNREACHABLE
    detail = f'{name} cannot be reached'
    return result.Failure(outcomes.not_run(reason, detail, 1.0))
