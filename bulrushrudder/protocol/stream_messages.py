"""Messages about the software versions at which streams began."""

import dataclasses

from bulrushrudder.lifecycle import stream_origins


@dataclasses.dataclass(frozen=True, slots=True)
class RecordStreams:
    """Tells a control process where streams began.

    :param forwarded: whether a control process passes it on to others.
    """

    records: tuple[stream_origins.StreamRecord, ...]
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FindStream:
    """Asks a control process at which version a stream began.

    :param model: id of the model that produced it.
    :param forwarded: whether another control process asks, which wants to
        know only what is recorded here.
    """

    stream: str
    model: str
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFound:
    """Response to FindStream.

    :param software: None if it is not known.
    """

    software: str | None
