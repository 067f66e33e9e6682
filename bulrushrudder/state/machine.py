"""The replicated state machine: the same commands, the same state."""

from bulrushrudder.state import documents
from bulrushrudder.state import servers
from bulrushrudder.state import sessions


class State:
    """What every replica and every observer knows.

    :ivar index: the place in the log of the last command.
    """

    def __init__(self):
        self.index = 0
        self.documents = documents.Documents()
        self.sessions = sessions.Sessions()
        self.servers = servers.Servers()

    def apply(self, index, command):
        """Apply a committed command.

        :param index: its place in the log.
        :returns: the result, the same on every replica.
        """
        self.index = index
        match command:
            case documents.SubmitDocument() | documents.PromoteDocument():
                return self.documents.apply(index, command)
            case sessions.OpenSession() | sessions.CloseSession():
                return self.sessions.apply(index, command)
            case servers.JoinServer() | servers.LeaveServer():
                return self.servers.apply(index, command)
        raise AssertionError(f'unknown command {command!r}')
