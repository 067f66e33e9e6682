"""Open sessions of entry processes in the replicated state."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import results


@dataclasses.dataclass(frozen=True, slots=True)
class OpenSession:
    """Open the session of a VM's entry process.

    :param address: host of the inner listener.
    :param port: port of the inner listener.
    :param hosts_roles: whether the VM may host roles for the fleet.
    :param replaces: incarnation of the VM's open session that the process
        found when it started; 0 for none, or once it has had a session.
    :param seen_index: index up to which the process had applied the log;
        None in a log of an earlier version, whose processes were ordered
        by their incarnations alone.
    """

    owner: ids.Owner
    zone: ids.Zone
    address: str
    port: int
    hosts_roles: bool = True
    replaces: int = 0
    seen_index: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CloseSession:
    """Close a session whose process left or whose lease expired."""

    owner: ids.Owner


@dataclasses.dataclass(frozen=True, slots=True)
class SessionsSnapshot:
    """All open sessions."""

    open: tuple[OpenSession, ...]


class Sessions:
    """The open session of each VM.

    :ivar by_vm: open sessions.
    :ivar hosts_by_vm: open sessions of the VMs that host roles; all open
        sessions if no VM with one has ``hosts_roles`` set.
    """

    def __init__(self):
        self.by_vm: dict[ids.VmId, OpenSession] = {}
        self.hosts_by_vm: dict[ids.VmId, OpenSession] = {}

    def snapshot(self):
        """Return the table as a SessionsSnapshot."""
        return SessionsSnapshot(tuple(self.by_vm.values()))

    def restore(self, snapshot):
        """Replace the table by a SessionsSnapshot."""
        self.by_vm = {session.owner.vm: session for session in snapshot.open}
        self._update_hosts()

    def incarnation(self, vm):
        """Return the incarnation of a VM's open session, 0 for none."""
        session = self.by_vm.get(vm)
        return session.owner.incarnation if session else 0

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        match command:
            case OpenSession():
                return self._open(index, command)
            case CloseSession():
                return self._close(index, command)
        raise AssertionError(f'unknown command {command!r}')

    def _open(self, index, command):
        session = self.by_vm.get(command.owner.vm)
        if session and not _may_replace(command, session):
            return results.Rejected(
                f'incarnation {command.owner.incarnation} does not succeed '
                f'{session.owner.incarnation}, which has an open session'
            )
        self.by_vm[command.owner.vm] = command
        self._update_hosts()
        return results.Accepted(index)

    def _close(self, index, command):
        session = self.by_vm.get(command.owner.vm)
        if session is None or session.owner != command.owner:
            return results.Rejected(
                f'{command.owner.vm} has no open session of incarnation '
                f'{command.owner.incarnation}'
            )
        del self.by_vm[command.owner.vm]
        self._update_hosts()
        return results.Accepted(index)

    def has_ended(self, owner, index):
        """Return whether a later process of its VM has a session.

        Processes of a VM do not overlap. One that has seen what another
        one did before it opened its session is the later one; the time of
        day may have stepped between their starts.

        :param index: log index of something that the owner has done.
        """
        session = self.by_vm.get(owner.vm)
        if session is None or session.owner == owner:
            return False
        if session.seen_index is None:
            return session.owner.incarnation > owner.incarnation
        return session.seen_index >= index

    def _update_hosts(self):
        hosts_by_vm = {
            vm: session
            for vm, session in self.by_vm.items()
            if session.hosts_roles
        }
        self.hosts_by_vm = hosts_by_vm or self.by_vm


def _may_replace(opening, session):
    """Return whether a session may be replaced by one that is opened.

    A command that was delayed must not replace the session of a later
    process.
    """
    if opening.owner == session.owner:
        return True
    if opening.seen_index is None:
        return opening.owner.incarnation > session.owner.incarnation
    return opening.replaces == session.owner.incarnation
