"""Open sessions of entry processes in the replicated state."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import results


@dataclasses.dataclass(frozen=True, slots=True)
class OpenSession:
    """A VM's entry process joins the fleet.

    :param address: host of the inner listener.
    :param port: port of the inner listener.
    """

    owner: ids.Owner
    zone: ids.Zone
    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class CloseSession:
    """An entry process left or its lease ran out."""

    owner: ids.Owner


@dataclasses.dataclass(frozen=True, slots=True)
class SessionsSnapshot:
    """All open sessions."""

    open: tuple[OpenSession, ...]


class Sessions:
    """The open session of each VM.

    :ivar by_vm: open sessions.
    """

    def __init__(self):
        self.by_vm: dict[ids.VmId, OpenSession] = {}

    def snapshot(self):
        """Return the table as a SessionsSnapshot."""
        return SessionsSnapshot(tuple(self.by_vm.values()))

    def restore(self, snapshot):
        """Put a SessionsSnapshot in the place of the table."""
        self.by_vm = {held.owner.vm: held for held in snapshot.open}

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        match command:
            case OpenSession():
                return self._open(index, command)
            case CloseSession():
                return self._close(index, command)
        raise AssertionError(f'unknown command {command!r}')

    def _open(self, index, command):
        held = self.by_vm.get(command.owner.vm)
        if held and held.owner.incarnation > command.owner.incarnation:
            return results.Rejected('a later incarnation is open')
        self.by_vm[command.owner.vm] = command
        return results.Accepted(index)

    def _close(self, index, command):
        held = self.by_vm.get(command.owner.vm)
        if held is None or held.owner != command.owner:
            return results.Rejected('the session is not open')
        del self.by_vm[command.owner.vm]
        return results.Accepted(index)
