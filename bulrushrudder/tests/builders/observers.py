"""Observers of the log, with and without a network."""

import asyncio
import dataclasses
import random

from bulrushrudder.documents import types
from bulrushrudder.entry import control_client
from bulrushrudder.observers import view
from bulrushrudder.state import documents as state_documents
from bulrushrudder.tests.builders import documents
from bulrushrudder.tests.builders import fleet


@dataclasses.dataclass(eq=False)
class SlowLink:
    """A link whose peer reads only when told to.

    :ivar capacity: number of messages that wait without being read.
    :ivar sent: all messages sent.
    :ivar unread: number of messages that have not been read yet.
    """

    capacity: int = 1
    sent: list = dataclasses.field(default_factory=list)
    unread: int = 0
    closed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    _read: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def has_room(self):
        return self.unread < self.capacity

    async def wait_for_room(self):
        while not self.has_room:
            self._read.clear()
            await self._read.wait()

    def send(self, message):
        self.sent.append(message)
        self.unread += 1
        return True

    def read(self):
        """Read all messages that wait."""
        self.unread = 0
        self._read.set()


def adoption(version, size):
    """Return the command that puts a configuration in force.

    :param size: bytes that the operator sent; compression saves nothing.
    """
    source = random.Random(version).randbytes(size)
    return state_documents.AdoptDocument(
        documents.document(version), source, f'digest-{version}', 'ana'
    )


def client_of(member, address=None):
    """Return a ControlClient that follows a control process, and its View.

    :param member: the Member of a ControlFleet.
    :param address: the Address by which it is reached, if not its own.
    """
    observed = view.View(types.Environment.PRODUCTION)
    client = control_client.ControlClient(
        observed,
        fleet.owner('observer'),
        member.settings.secrets.cluster,
        (address or member.settings.control.inner,),
    )
    return client, observed
