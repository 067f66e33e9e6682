"""Remembers at which software version streams began."""

import collections
import dataclasses

from bulrushrudder.core import digests

# Longer than callers take streams up again.
RETENTION_S = 60.0
MAX_RECORDS = 200_000


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRecord:
    """The origin of a stream.

    :param stream: the caller's id of the request that began it.
    :param software: version of the software of its first server.
    """

    stream: str
    software: str


class StreamOrigins:
    """Origins of recent streams; the oldest are forgotten first.

    Streams are kept under their shortened ids, also those that a process
    of an earlier version has recorded.
    """

    def __init__(self):
        self._records_by_stream = {}
        self._expiries = collections.deque()

    def add(self, record, now_s):
        """Keep a record; the first one of a stream counts.

        :param record: the StreamRecord.
        :param now_s: monotonic seconds.
        :returns: whether the stream was not known.
        """
        self._forget_old(now_s)
        stream = digests.shorten(record.stream)
        if stream in self._records_by_stream:
            return False
        self._records_by_stream[stream] = StreamRecord(stream, record.software)
        self._expiries.append((now_s + RETENTION_S, stream))
        return True

    def software(self, stream, now_s):
        """Return the version at which a stream began, None if unknown."""
        self._forget_old(now_s)
        record = self._records_by_stream.get(digests.shorten(stream))
        return record.software if record else None

    def recent(self, now_s):
        """Return all StreamRecords that are kept."""
        self._forget_old(now_s)
        return tuple(self._records_by_stream.values())

    def _forget_old(self, now_s):
        while self._expiries and (
            self._expiries[0][0] <= now_s or len(self._expiries) > MAX_RECORDS
        ):
            _, stream = self._expiries.popleft()
            del self._records_by_stream[stream]
