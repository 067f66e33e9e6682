"""Grants places on backend servers for the requests of one fleet."""

import collections
import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceAsked:
    """A request wants a prefill and a decode server.

    :param call: names the question in the answer.
    :param deadline_s: monotonic seconds until which it can queue.
    """

    call: int
    request: ids.RequestId
    owner: ids.Owner
    account: str
    model: ids.ModelId
    prompt_tokens: int
    output_tokens: int
    interactive: bool
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceReleased:
    """A request holds nothing any more."""

    request: ids.RequestId
    owner: ids.Owner


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A request runs on these servers."""

    call: int
    prefill: ids.ServerId
    decode: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """A request gets no servers in time."""

    call: int
    reason: outcomes.Reason


class Coordinator:
    """Places held by requests, and the queue before them."""

    def __init__(self):
        self._queue = collections.deque()
        self._holdings_by_request = {}
        self._held_by_server = collections.Counter()

    def handle(self, event, servers_by_id, now_s):
        """Take an event and return grants and refusals.

        :param servers_by_id: the backend servers that get new work.
        :param now_s: monotonic seconds.
        """
        match event:
            case PlaceAsked():
                self._queue.append(event)
            case PlaceReleased(request=request, owner=owner):
                self._release((request, owner))
            case Ticked():
                pass
            case _:
                raise AssertionError(f'unknown event {event!r}')
        return self._serve(servers_by_id, now_s)

    def _release(self, key):
        grant = self._holdings_by_request.pop(key, None)
        if grant is None:
            return
        self._held_by_server[grant.prefill] -= 1
        self._held_by_server[grant.decode] -= 1

    def _serve(self, servers_by_id, now_s):
        found = []
        left = collections.deque()
        for asked in self._queue:
            grant = self._place(asked, servers_by_id)
            if grant is not None:
                found.append(grant)
            elif now_s >= asked.deadline_s:
                reason = outcomes.Reason.NO_SERVER
                found.append(Refuse(asked.call, reason))
            else:
                left.append(asked)
        self._queue = left
        return found

    def _place(self, asked, servers_by_id):
        prefill = self._least_held('prefill', asked.model, servers_by_id)
        decode = self._least_held('decode', asked.model, servers_by_id)
        if prefill is None or decode is None:
            return None
        grant = Grant(asked.call, prefill.id, decode.id)
        self._holdings_by_request[asked.request, asked.owner] = grant
        self._held_by_server[prefill.id] += 1
        self._held_by_server[decode.id] += 1
        return grant

    def _least_held(self, kind, model, servers_by_id):
        candidates = [
            server
            for server in servers_by_id.values()
            if server.kind == kind
            and model in server.serves
            and self._held_by_server[server.id] < server.places
        ]
        return min(
            candidates,
            key=lambda server: (self._held_by_server[server.id], server.id),
            default=None,
        )
