"""Serves the log to the system's other processes."""

import asyncio
import dataclasses

from returns import result

from bulrushrudder.control import node
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.membership import tracker
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import log_messages
from bulrushrudder.protocol import messages
from bulrushrudder.state import results
from bulrushrudder.state import servers

MAX_ENTRIES_A_MESSAGE = 200
TICK_S = 0.5


@dataclasses.dataclass(slots=True)
class _Observer:
    """A link that follows the log."""

    link: object
    index: int


class Control:
    """The control process without its listeners."""

    def __init__(self):
        self.node = node.Node(self._push_all)
        self._observers = []
        self._tracker = tracker.Tracker()

    async def handle(self, link, message):
        """Serve a message of another process."""
        match message:
            case log_messages.Observe(index=index):
                self._observers.append(_Observer(link, index))
                self._push_all()
            case log_messages.AskVouch(round=number):
                index = await self.node.confirm()
                link.tell(log_messages.Vouch(number, index))
            case log_messages.Propose(command=data):
                outcome = await self._propose(data)
                return log_messages.Proposed(codec.encode(outcome))
            case log_messages.Announce(server=data, leaving=leaving):
                await self._announced(data, leaving)
                return messages.Noted()
        return None

    async def run(self):
        """Let announcements run out until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            await self._track(tracker.Ticked())

    async def _propose(self, data):
        match codec.decode(data):
            case result.Success(command):
                return await self.node.propose(command)
            case result.Failure(error):
                return results.Rejected(error.problem)

    async def _announced(self, data, leaving):
        match codec.decode(data):
            case result.Success(servers.JoinServer(server=server)):
                await self._track(tracker.Announced(server, leaving))

    async def _track(self, event):
        now_s = asyncio.get_running_loop().time()
        servers_by_id = self.node.state.servers.by_id
        actions = self._tracker.handle(event, servers_by_id, now_s)
        for action in actions:
            await self.node.propose(action.command)
            self._log_change(action.command)

    def _log_change(self, command):
        match command:
            case servers.JoinServer(server=server):
                log.emit(catalogue.SERVER_JOINED, server=server.id)
            case servers.LeaveServer(id=server_id):
                log.emit(catalogue.SERVER_LEFT, server=server_id)

    def _push_all(self):
        self._observers = [
            o for o in self._observers if not o.link.closed.is_set()
        ]
        for observer in self._observers:
            self._push(observer)

    def _push(self, observer):
        while observer.index < self.node.index:
            found = self.node.commands_after(
                observer.index, MAX_ENTRIES_A_MESSAGE
            )
            entries = log_messages.Entries(observer.index + 1, found)
            if not observer.link.tell(entries):
                return
            observer.index += len(found)
