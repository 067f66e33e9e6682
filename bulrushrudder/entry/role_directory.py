"""Finds the VM that hosts a role and sends messages to it.

Roles are assigned by highest random weight (rendezvous hashing) among the
open sessions of the VMs that host roles.
"""

import asyncio

from returns import result

from bulrushrudder.config import settings
from bulrushrudder.core import outcomes
from bulrushrudder.core import ranking
from bulrushrudder.events import catalogue
from bulrushrudder.events import log

# Time for the reply to travel back, in addition to the request's patience.
REPLY_MARGIN_S = 2.0
# Interval of attempts to connect to an unreachable VM.
PROBE_INTERVAL_S = 0.5
# Prefix of the keys of roles whose state can be rebuilt (soft state).
SOFT_STATE_PREFIX = 'model/'


class RoleDirectory:
    """Sends messages to the VM that hosts a role.

    A role with soft state moves to the next VM as soon as this process
    cannot reach its host. Two VMs may then host it at the same time, which
    lowers performance but never breaks a guarantee.

    :param view: the View of the log.
    :param owner: the Owner that identifies this process.
    :param peers: the Peers, which link to other entry processes.
    :ivar suspicion_changes: how often a VM became suspect or reachable
        again.
    """

    def __init__(self, view, owner, peers):
        self._view = view
        self._owner = owner
        self._peers = peers
        self.suspicion_changes = 0
        self._suspects_by_vm = {}
        self._probe_tasks = set()

    async def ask(
        self, key, request, patience_s, serve, margin_s=REPLY_MARGIN_S
    ):
        """Send a request to the host of a role and wait for the reply.

        A VM that does not reply becomes suspect.

        :param key: key of the role.
        :param request: the message.
        :param patience_s: seconds that the host may take.
        :param serve: coroutine function that handles the message if this
            VM hosts the role.
        :param margin_s: seconds that the reply may take in addition.
        :returns: the reply, or a LinkError.
        """
        vm = self.host_of(key)
        address = self._remote_address(vm)
        if address is None:
            return result.Success(await serve(request))
        answer = await self._peers.ask(address, request, patience_s + margin_s)
        if isinstance(answer, result.Failure):
            self._add_suspect(vm, address)
        return answer

    async def send(self, key, message, serve):
        """Send a message without a reply to the host of a role.

        :param key: key of the role.
        :param serve: coroutine function that handles the message if this
            VM hosts the role.
        """
        address = self._remote_address(self.host_of(key))
        if address is None:
            await serve(message)
            return
        await self._peers.send(address, message)

    def host_of(self, key):
        """Return the VM that hosts a role, or None without sessions.

        Suspect VMs are skipped for roles with soft state, unless all VMs
        are suspect.
        """
        hosts = self._view.state.sessions.hosts_by_vm
        if key.startswith(SOFT_STATE_PREFIX) and self._suspects_by_vm:
            reachable = [vm for vm in hosts if not self._is_suspect(vm)]
            if reachable:
                return ranking.choose(key, reachable)
        return ranking.choose(key, hosts)

    def is_elected(self, key):
        """Return whether this VM hosts a role by all open sessions.

        Unlike host_of, it does not depend on which VMs are reachable, so
        that all VMs with the same view agree.
        """
        hosts = self._view.state.sessions.hosts_by_vm
        return ranking.choose(key, hosts) == self._owner.vm

    def _is_suspect(self, vm):
        """Return whether the current incarnation of a VM is suspect."""
        session = self._view.state.sessions.by_vm.get(vm)
        return (
            session is not None
            and self._suspects_by_vm.get(vm) == session.owner
        )

    def _add_suspect(self, vm, address):
        """Mark a VM as suspect until it is reachable or has restarted."""
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
            if await self._peers.can_reach(address):
                break
        self._suspects_by_vm.pop(vm, None)
        self.suspicion_changes += 1
        log.emit(catalogue.PEER_REACHED, peer=vm)

    def _remote_address(self, vm):
        """Return the address of a VM, or None to handle messages locally.

        The latter applies to this VM and to a role without a host.
        """
        if vm is None or vm == self._owner.vm:
            return None
        session = self._view.state.sessions.hosts_by_vm[vm]
        return settings.Address(session.address, session.port)


def unreachable(name):
    """Return the Refusal for a role whose host does not reply.

    :param name: names the role in the detail.
    """
    reason = outcomes.Reason.CONTROL_UNREACHABLE
    detail = f'{name} cannot be reached'
    return result.Failure(outcomes.not_run(reason, detail, 1.0))
