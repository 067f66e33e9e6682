"""Messages between entries and coordinators."""

import dataclasses

from bulrushrudder.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class AskPlace:
    """Asks a cell's coordinator for servers.

    :param request: the request that is placed.
    :param account: whose share of the queue it takes.
    :param tokens: prompt and output bound together.
    :param patience_s: seconds that the request can queue.
    :param excluded: servers that failed the request.
    :param isolation: 1 where no other such request may share a server,
        2 where no other request at all may.
    """

    request: ids.RequestId
    owner: ids.Owner
    account: str
    model: ids.ModelId
    prompt_tokens: int
    output_tokens: int
    interactive: bool
    patience_s: float
    excluded: tuple[ids.ServerId, ...] = ()
    isolation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceGranted:
    """The servers that run a request."""

    prefill: ids.ServerId
    decode: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRefused:
    """No servers can be had in time."""

    reason: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePlace:
    """The request holds nothing on its servers any more."""

    request: ids.RequestId
    owner: ids.Owner
    model: ids.ModelId
