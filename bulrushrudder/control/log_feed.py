"""Sends the committed log to its observers."""

import dataclasses

from bulrushrudder.protocol import log_messages

MAX_ENTRIES_PER_MESSAGE = 200
STATE_CHUNK_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class _Observer:
    """An observer of the log.

    :ivar index: index of the last entry sent.
    :ivar members: the member addresses last sent.
    """

    link: object
    index: int
    members: tuple[str, ...] = ()


class LogFeed:
    """Sends committed commands and member addresses to observers.

    :param node: the Node.
    """

    def __init__(self, node):
        self._node = node
        self._observers = []

    def add(self, link, index):
        """Add an observer.

        :param link: the link to it.
        :param index: index of the last entry that the observer has.
        """
        observer = _Observer(link, index)
        self._observers.append(observer)
        self._send_members(observer)
        self._send_log(observer)

    def has(self, link):
        """Return whether an observer uses a link."""
        return any(observer.link is link for observer in self._observers)

    def send_all(self):
        """Send new commands and addresses to all open links."""
        self._observers = [
            o for o in self._observers if not o.link.closed.is_set()
        ]
        for observer in self._observers:
            self._send_members(observer)
            self._send_log(observer)

    def _send_members(self, observer):
        """Send the addresses of the members if they have changed."""
        members = tuple(m.address for m in self._node.replica.members)
        if observer.members != members:
            observer.members = members
            observer.link.send(log_messages.Members(members))

    def _send_log(self, observer):
        if self._node.needs_snapshot(observer.index):
            self._send_state(observer)
        while observer.index < self._node.index:
            commands = self._node.commands_after(
                observer.index, MAX_ENTRIES_PER_MESSAGE
            )
            entries = log_messages.Entries(observer.index + 1, commands)
            if not observer.link.send(entries):
                return
            observer.index += len(commands)

    def _send_state(self, observer):
        snapshot = self._node.replica.log.snapshot
        total = len(snapshot.data)
        for offset in range(0, total, STATE_CHUNK_BYTES):
            data = snapshot.data[offset : offset + STATE_CHUNK_BYTES]
            chunk = log_messages.StateChunk(
                snapshot.index, offset, total, data
            )
            if not observer.link.send(chunk):
                return
        observer.index = snapshot.index
