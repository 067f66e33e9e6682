"""Sends the log to its observers."""

import dataclasses

from bulrushrudder.protocol import log_messages

MAX_ENTRIES_A_MESSAGE = 200
STATE_PART_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class _Observer:
    """A link that follows the log.

    :ivar index: up to where the log was sent.
    :ivar members: addresses of the members that it was told last.
    """

    link: object
    index: int
    members: tuple[str, ...] = ()


class LogFeed:
    """Links that follow the log.

    :param node: the Node.
    """

    def __init__(self, node):
        self._node = node
        self._observers = []

    def add(self, link, index):
        """Follow the log on a link.

        :param index: up to where the observer knows the log.
        """
        observer = _Observer(link, index)
        self._observers.append(observer)
        self._tell_members(observer)
        self._push(observer)

    def push_all(self):
        """Send to each observer what it has not been sent yet."""
        self._observers = [
            o for o in self._observers if not o.link.closed.is_set()
        ]
        for observer in self._observers:
            self._tell_members(observer)
            self._push(observer)

    def _tell_members(self, observer):
        """Say where the members listen, where that has changed."""
        found = tuple(m.address for m in self._node.replica.members)
        if observer.members != found:
            observer.members = found
            observer.link.tell(log_messages.Members(found))

    def _push(self, observer):
        if self._node.needs_state(observer.index):
            self._push_state(observer)
        while observer.index < self._node.index:
            found = self._node.commands_after(
                observer.index, MAX_ENTRIES_A_MESSAGE
            )
            entries = log_messages.Entries(observer.index + 1, found)
            if not observer.link.tell(entries):
                return
            observer.index += len(found)

    def _push_state(self, observer):
        snapshot = self._node.replica.log.snapshot
        total = len(snapshot.data)
        for offset in range(0, total, STATE_PART_BYTES):
            data = snapshot.data[offset : offset + STATE_PART_BYTES]
            part = log_messages.StatePart(snapshot.index, offset, total, data)
            if not observer.link.tell(part):
                return
        observer.index = snapshot.index
