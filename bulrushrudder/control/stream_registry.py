"""Keeps at which software versions streams began, for all entries.

Records are kept in memory on every control process. They are not part of
the log: a stream whose record is lost is not resumed.
"""

import asyncio

from returns import result

from bulrushrudder.lifecycle import stream_origins
from bulrushrudder.protocol import stream_messages

FIND_TIMEOUT_S = 0.3


class StreamRegistry:
    """Records streams and finds the versions at which they began.

    :param node: the Node.
    :param peers: the Peers, with links to the other control processes.
    """

    def __init__(self, node, peers):
        self._node = node
        self._peers = peers
        self._origins = stream_origins.StreamOrigins()

    def record(self, message):
        """Keep the records of a RecordStreams message and pass it on."""
        now_s = _now_s()
        for record in message.records:
            self._origins.add(record, now_s)
        if message.forwarded:
            return
        forwarded = stream_messages.RecordStreams(message.records, True)
        for address in self._node.other_addresses():
            self._peers.send_or_drop(address, forwarded)

    async def find(self, message):
        """Return a StreamFound message.

        While only one version is known to a quorum, every stream began at
        it. Otherwise the records of all control processes are searched.
        """
        recorded = self._origins.software(message.stream, _now_s())
        if recorded is not None or message.forwarded:
            return stream_messages.StreamFound(recorded)
        if await self._node.read_index() is None:
            return stream_messages.StreamFound(None)
        known = self._node.state.servers.softwares(message.model)
        if len(known) == 1:
            return stream_messages.StreamFound(known[0])
        return stream_messages.StreamFound(await self._ask_others(message))

    async def _ask_others(self, message):
        """Return the version that another control process has recorded."""
        question = stream_messages.FindStream(
            message.stream, message.model, True
        )
        asked = [
            asyncio.create_task(
                self._peers.ask(address, question, FIND_TIMEOUT_S)
            )
            for address in self._node.other_addresses()
        ]
        try:
            for answering in asyncio.as_completed(asked):
                match await answering:
                    case result.Success(
                        stream_messages.StreamFound(software=str(software))
                    ):
                        return software
        finally:
            for task in asked:
                task.cancel()
        return None


def _now_s():
    return asyncio.get_running_loop().time()
