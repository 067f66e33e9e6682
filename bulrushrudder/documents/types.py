"""The environment document as data classes."""

import dataclasses
import enum

from bulrushrudder.core import ids


class Environment(enum.Enum):
    """The environments that a document passes through."""

    TRIAL = 'trial'
    PRODUCTION = 'production'


class Urgency(enum.Enum):
    """Whether a route's calls need answers now or can wait."""

    INTERACTIVE = 'interactive'
    DEFERRED = 'deferred'


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its grant.

    :param rate: tokens a second over the whole fleet.
    :param burst: tokens that may be spent at once.
    :param weight: share of a contended queue, relative to others.
    :param key_digests: digests of the keys that are in force.
    :param rank: goes before the rank of the route; 0 is the first, None
        where the route's rank holds.
    :param call_tokens: what a call costs that names no tokens.
    :param by_tokens: whether calls cost the tokens that they name.
    """

    id: ids.AccountId
    rate: float
    burst: int
    weight: float
    key_digests: tuple[str, ...]
    rank: int | None = None
    call_tokens: int = 0
    by_tokens: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that backend servers run.

    :param max_output_tokens: the bound on output where none is asked.
    """

    id: ids.ModelId
    max_output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ModelTarget:
    """A route that leads to a model.

    :param first_token_s: target for the first token, in seconds.
    :param between_tokens_s: target between tokens, in seconds.
    """

    model: ids.ModelId
    first_token_s: float
    between_tokens_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTarget:
    """A route that leads to a plain service.

    :param timeout_s: the bound on one call, in seconds.
    :param call_tokens: the tokens that one call is charged.
    """

    service: ids.ServiceId
    timeout_s: float
    call_tokens: int


class Repetition(enum.Enum):
    """What may be repeated of a call whose answer was lost."""

    WHOLE = 'whole'
    NOTHING = 'nothing'
    REST = 'rest'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service's part of the calls of a route."""

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class SplitTarget:
    """A route whose calls are passed on unchanged to one of its shares.

    :param timeout_s: seconds after which a caller gets a final answer.
    :param answer_s: target for the answer, or for the first event of a
        stream, in seconds.
    :param between_events_s: target between events of a stream.
    :param attempts: backend servers that one call may run on.
    :param rank: order among waiting calls, 0 is the first.
    :param streamed: whether the answer is a stream of events.
    """

    shares: tuple[Share, ...]
    timeout_s: float
    answer_s: float
    between_events_s: float
    attempts: int
    rank: int
    streamed: bool
    repetition: Repetition


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTerms:
    """What every server of a service of engines holds.

    :param places: requests that a server runs at once.
    :param memory_tokens: tokens of KV cache in its memory.
    :param piece_tokens: tokens of the pieces that memory comes in.
    :param link_tokens_per_s: rate of its link in tokens of KV cache.
    :param event_tokens: tokens in an event of an answer.
    :param result_s: seconds that the result of a prefill is kept.
    :param change_s: seconds that a change of role takes.
    """

    places: int
    memory_tokens: int
    piece_tokens: int
    link_tokens_per_s: float
    event_tokens: int
    result_s: float
    change_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that routes lead to.

    :param max_connections: connections that a server takes from all.
    :param engine: None for a plain service.
    """

    id: ids.ServiceId
    max_connections: int
    engine: EngineTerms | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerBounds:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_s: float
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What callers may ask for at a path.

    :param accounts: the client accounts that may use the route; empty
        for all of them.
    :param open: whether the route is open to all, without a key.
    :param repeatable: whether a call may run more than once.
    :param patience_s: seconds that a call may wait for its tokens.
    :param host: whom callers address; empty for any.
    :param prefix: whether the path is the start of the calls' paths;
        the longest that fits goes first.
    """

    id: ids.RouteId
    method: str
    path: str
    target: ModelTarget | ServiceTarget | SplitTarget
    urgency: Urgency
    accounts: tuple[ids.AccountId, ...]
    open: bool
    repeatable: bool
    patience_s: float
    host: str = ''
    prefix: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Register:
    """Bounds on the register of calls that run at most once.

    :param retention_s: seconds that an answer is kept.
    :param max_answer_bytes: answers above it are not kept.
    :param max_entries: entries an account may hold.
    """

    retention_s: float
    max_answer_bytes: int
    max_entries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """All that operators configure for an environment."""

    version: int
    accounts: tuple[ClientAccount, ...]
    models: tuple[Model, ...]
    routes: tuple[Route, ...]
    register: Register
    cut_on_withdrawal: bool
    services: tuple[Service, ...] = ()
    bounds: CallerBounds | None = None
