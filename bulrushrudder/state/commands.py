"""Commands of the replicated state machine."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.documents import types


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitDocument:
    """Offer a document to an environment.

    :param digest: the digest of the bytes that the operator sent.
    :param operator: who submits, for the history.
    """

    environment: types.Environment
    document: types.Document
    digest: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteDocument:
    """Put the bytes that trial accepted in force in production."""

    version: int
    digest: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class OpenSession:
    """A VM's entry process joins the fleet.

    :param address: host of the inner listener.
    :param port: port of the inner listener.
    """

    owner: ids.Owner
    zone: ids.Zone
    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class CloseSession:
    """An entry process left or its lease ran out."""

    owner: ids.Owner


@dataclasses.dataclass(frozen=True, slots=True)
class JoinServer:
    """A backend server announced itself or changed."""

    server: 'BackendServer'


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveServer:
    """A backend server leaves or went silent."""

    id: ids.ServerId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as it announces itself.

    :param kind: prefill, decode or service.
    :param serves: the models or the services it serves.
    :param places: requests that it can hold at once.
    :param memory_tokens: tokens of KV cache that it can hold.
    :param link_tokens_per_s: rate of its link, in tokens of KV cache.
    :param checks_fencing: whether it refuses old fencing numbers.
    """

    id: ids.ServerId
    incarnation: int
    kind: str
    host: str
    port: int
    zone: ids.Zone
    serves: tuple[str, ...]
    places: int
    memory_tokens: int
    link_tokens_per_s: float
    checks_fencing: bool


Command = (
    SubmitDocument
    | PromoteDocument
    | OpenSession
    | CloseSession
    | JoinServer
    | LeaveServer
)
