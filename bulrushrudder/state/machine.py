"""The replicated state machine: the same commands, the same state."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.state import commands
from bulrushrudder.state import results


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """One accepted document in an environment's history."""

    document: types.Document
    digest: str
    operator: str
    index: int


class State:
    """What every replica and every observer knows.

    :ivar history_by_environment: accepted versions, oldest first.
    :ivar sessions_by_vm: the open session of each VM.
    :ivar servers_by_id: the backend servers that may get new work.
    """

    def __init__(self):
        self.index = 0
        self.history_by_environment = {e: [] for e in types.Environment}
        self.sessions_by_vm: dict[ids.VmId, commands.OpenSession] = {}
        self.servers_by_id: dict[ids.ServerId, commands.BackendServer] = {}
        self.last_incarnations_by_id: dict[ids.ServerId, int] = {}

    def document(self, environment):
        """Return the document in force in an environment."""
        history = self.history_by_environment[environment]
        return history[-1].document if history else lookups.EMPTY

    def apply(self, index, command):
        """Apply a committed command.

        :param index: its place in the log.
        :returns: the result, the same on every replica.
        """
        self.index = index
        match command:
            case commands.SubmitDocument():
                return self._submit(index, command)
            case commands.PromoteDocument():
                return self._promote(index, command)
            case commands.OpenSession():
                return self._open_session(index, command)
            case commands.CloseSession():
                return self._close_session(index, command)
            case commands.JoinServer(server=server):
                return self._join(index, server)
            case commands.LeaveServer():
                return self._leave(index, command)
        raise AssertionError(f'unknown command {command!r}')

    def _submit(self, index, command):
        if command.environment is types.Environment.PRODUCTION:
            return results.Rejected('production takes only promotions')
        version = Version(
            command.document, command.digest, command.operator, index
        )
        return self._append(types.Environment.TRIAL, version)

    def _promote(self, index, command):
        trial = self.history_by_environment[types.Environment.TRIAL]
        found = [v for v in trial if v.digest == command.digest]
        if not found:
            return results.Rejected('trial never accepted these bytes')
        version = dataclasses.replace(
            found[-1], operator=command.operator, index=index
        )
        return self._append(types.Environment.PRODUCTION, version)

    def _append(self, environment, version):
        history = self.history_by_environment[environment]
        number = version.document.version
        known = [v for v in history if v.document.version == number]
        if known and known[0].digest == version.digest:
            return results.Accepted(known[0].index, repeated=True)
        if known:
            return results.Rejected(
                f'version {number} is taken by other bytes',
                winner=known[0].operator,
            )
        if history and number < history[-1].document.version:
            return results.Rejected(
                f'version {history[-1].document.version} is in force'
            )
        history.append(version)
        return results.Accepted(version.index)

    def _open_session(self, index, command):
        held = self.sessions_by_vm.get(command.owner.vm)
        if held and held.owner.incarnation > command.owner.incarnation:
            return results.Rejected('a later incarnation is open')
        self.sessions_by_vm[command.owner.vm] = command
        return results.Accepted(index)

    def _close_session(self, index, command):
        held = self.sessions_by_vm.get(command.owner.vm)
        if held is None or held.owner != command.owner:
            return results.Rejected('the session is not open')
        del self.sessions_by_vm[command.owner.vm]
        return results.Accepted(index)

    def _join(self, index, server):
        last = self.last_incarnations_by_id.get(server.id, -1)
        present = server.id in self.servers_by_id
        if server.incarnation < last:
            return results.Rejected('a later incarnation is known')
        if server.incarnation == last and not present:
            return results.Rejected('this incarnation has left')
        self.servers_by_id[server.id] = server
        self.last_incarnations_by_id[server.id] = server.incarnation
        return results.Accepted(index)

    def _leave(self, index, command):
        last = self.last_incarnations_by_id.get(command.id, -1)
        if command.incarnation < last:
            return results.Rejected('a later incarnation is known')
        self.servers_by_id.pop(command.id, None)
        self.last_incarnations_by_id[command.id] = command.incarnation
        return results.Accepted(index)
