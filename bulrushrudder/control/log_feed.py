"""Sends the committed log to its observers."""

import asyncio
import dataclasses

from bulrushrudder.consensus import types
from bulrushrudder.protocol import log_messages

MAX_ENTRIES_PER_MESSAGE = 200
MAX_BYTES_PER_MESSAGE = 256 * 1024
STATE_CHUNK_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class _Observer:
    """An observer of the log.

    :ivar index: index of the last entry sent.
    :ivar members: the member addresses last sent.
    :ivar snapshot: the snapshot that is being sent, or None.
    :ivar offset: bytes of that snapshot that have been sent.
    :ivar behind: event that is set while more is to be sent.
    """

    link: object
    index: int
    members: tuple[str, ...] = ()
    snapshot: types.Snapshot | None = None
    offset: int = 0
    behind: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class LogFeed:
    """Sends committed commands and member addresses to observers.

    An observer gets the next message when its link has room for it, so that
    one that reads slowly does not make the process hold the log once more.

    :param node: the Node.
    """

    def __init__(self, node):
        self._node = node
        self._observers_by_link = {}

    async def serve(self, link, index):
        """Send the log to an observer until its link closes.

        :param link: the link to it.
        :param index: index of the last entry that the observer has.
        """
        observer = _Observer(link, index)
        # One that subscribes again on the same link replaces the former.
        self._observers_by_link[link] = observer
        self._send_next(observer)
        try:
            while self._observers_by_link.get(link) is observer:
                await observer.behind.wait()
                await link.wait_for_room()
                self._send_next(observer)
                # Other observers and consensus messages come in between.
                await asyncio.sleep(0)
        finally:
            self._remove(observer)

    def has(self, link):
        """Return whether an observer uses a link."""
        return link in self._observers_by_link

    def send_all(self):
        """Send new commands and addresses to all observers.

        Those that are behind get them later, one message at a time.
        """
        for observer in tuple(self._observers_by_link.values()):
            if not observer.behind.is_set():
                self._send_next(observer)

    def _remove(self, observer):
        if self._observers_by_link.get(observer.link) is observer:
            del self._observers_by_link[observer.link]

    def _send_next(self, observer):
        """Send the next message that an observer lacks, if there is room.

        An observer whose link takes no more messages is removed.
        """
        if not observer.link.has_room:
            observer.behind.set()
            return
        message = self._next_message(observer)
        if message is not None and not observer.link.send(message):
            self._remove(observer)
            observer.behind.set()
            return
        self._record_sent(observer, message)
        if message is not None and self._lacks_any(observer):
            observer.behind.set()
        else:
            observer.behind.clear()

    def _lacks_any(self, observer):
        return (
            observer.index < self._node.index
            or observer.members != self._member_addresses()
        )

    def _member_addresses(self):
        return tuple(m.address for m in self._node.replica.members)

    def _next_message(self, observer):
        """Return the next message for an observer, or None."""
        members = self._member_addresses()
        if observer.members != members:
            return log_messages.Members(members)
        if observer.snapshot is None and self._node.needs_snapshot(
            observer.index
        ):
            # A later snapshot does not replace it: under frequent changes,
            # the transfer would start again and again.
            observer.snapshot = self._node.replica.log.snapshot
            observer.offset = 0
        if observer.snapshot is not None:
            return _chunk(observer.snapshot, observer.offset)
        commands = self._node.commands_after(
            observer.index, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE
        )
        if not commands:
            return None
        return log_messages.Entries(observer.index + 1, commands)

    def _record_sent(self, observer, message):
        match message:
            case log_messages.Members(addresses=addresses):
                observer.members = addresses
            case log_messages.Entries(first=first, commands=commands):
                observer.index = first + len(commands) - 1
            case log_messages.StateChunk(index=index, offset=offset):
                observer.offset = offset + len(message.data)
                if observer.offset == message.total:
                    observer.index = index
                    observer.snapshot = None


def _chunk(snapshot, offset):
    data = snapshot.data[offset : offset + STATE_CHUNK_BYTES]
    return log_messages.StateChunk(
        snapshot.index, offset, len(snapshot.data), data
    )
