"""The log of one control process."""

from bulrushrudder.protocol import codec
from bulrushrudder.state import machine


class Node:
    """A log of one replica, held in memory.

    :param on_committed: called after each committed command.
    """

    def __init__(self, on_committed):
        self.state = machine.State()
        self._commands = []
        self._on_committed = on_committed

    @property
    def index(self):
        """Return the index of the last committed command."""
        return len(self._commands)

    async def propose(self, command):
        """Commit a command.

        :returns: the Outcome of the command.
        """
        self._commands.append(codec.encode(command))
        outcome = self.state.apply(len(self._commands), command)
        self._on_committed()
        return outcome

    def commands_after(self, index, most):
        """Return encoded commands that follow an index."""
        return tuple(self._commands[index : index + most])

    async def confirm(self):
        """Return an index that was current when this call began."""
        return self.index
