"""The environment document as data classes."""

import dataclasses
import enum

from bulrushrudder.core import ids


class Environment(enum.Enum):
    """The environments to which a document is promoted in turn."""

    TRIAL = 'trial'
    PRODUCTION = 'production'


class Urgency(enum.Enum):
    """Whether calls of a route need an immediate answer."""

    INTERACTIVE = 'interactive'
    DEFERRED = 'deferred'


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its limits.

    :param rate: refill in tokens a second, across the whole fleet.
    :param burst: tokens that may be spent at once.
    :param weight: share of a contended queue, relative to others.
    :param key_digests: digests of the keys that are in force.
    :param rank: priority that overrides the rank of the route; 0 is the
        highest, None for the route's rank.
    :param call_tokens: cost of a call that doesn't state its tokens.
    :param by_tokens: whether calls cost the tokens that they state.
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

    :param max_output_tokens: limit on output tokens, and the default if
        a request sets none.
    """

    id: ids.ModelId
    max_output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ModelTarget:
    """The target of a route to a model.

    :param first_token_s: target time to the first token, in seconds.
    :param between_tokens_s: target time between tokens, in seconds.
    """

    model: ids.ModelId
    first_token_s: float
    between_tokens_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTarget:
    """The target of a route to a plain service.

    :param timeout_s: timeout of a call, in seconds.
    :param call_tokens: cost of a call, in tokens.
    """

    service: ids.ServiceId
    timeout_s: float
    call_tokens: int


class Repetition(enum.Enum):
    """How much of a call may be retried after its answer was lost.

    REST is the part of a streamed answer that had not arrived.
    """

    WHOLE = 'whole'
    NOTHING = 'nothing'
    REST = 'rest'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service's share of the calls of a route, by relative weight."""

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class SplitTarget:
    """The target of a route that splits its calls between services.

    Calls are forwarded unchanged.

    :param shares: the services, with the weights of the choice.
    :param timeout_s: seconds after which a caller gets a final answer.
    :param answer_s: target time to the answer, or to the first event of
        a stream, in seconds.
    :param between_events_s: target time between events of a stream, in
        seconds.
    :param attempts: number of backend servers that a call may be
        attempted on.
    :param rank: priority among waiting calls; 0 is the highest.
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
class EngineProfile:
    """Properties that all engines of a service share.

    :param places: requests that a server runs concurrently.
    :param memory_tokens: capacity of the KV cache, in tokens.
    :param piece_tokens: size of a KV cache block, in tokens.
    :param link_tokens_per_s: rate of KV cache transfers, in tokens a
        second.
    :param event_tokens: tokens per event of an answer.
    :param result_s: seconds that the result of a prefill is kept.
    :param change_s: seconds that a change between prefill and decode
        takes.
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
    """A service, the target of routes.

    :param max_connections: connections that a server accepts in total.
    :param engine: properties of its engines; None for a plain service.
    :param warm_up_s: seconds for which a server is cold after its start.
    :param cold_requests_per_s: requests a second that a cold server
        sustains; 0 if its servers are never cold.
    """

    id: ids.ServiceId
    max_connections: int
    engine: EngineProfile | None
    warm_up_s: float = 0.0
    cold_requests_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerBounds:
    """Limits on the size and timing of what callers send.

    :param header_s: timeout of the header, in seconds.
    :param idle_s: timeout of an idle connection, in seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_s: float
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The target and the rules of calls to a path.

    :param accounts: client accounts that may use the route; empty for
        all of them.
    :param open: whether calls need no key.
    :param repeatable: whether a call may run more than once.
    :param patience_s: seconds that a call may wait for its tokens.
    :param host: host that callers address; empty for any.
    :param prefix: whether the path is a prefix of the calls' paths; the
        longest matching prefix is used.
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
class RegisterLimits:
    """Limits of the register of calls that run at most once.

    :param retention_s: seconds that an answer is kept.
    :param max_answer_bytes: size above which answers are not kept.
    :param max_entries: maximum number of entries of an account.
    """

    retention_s: float
    max_answer_bytes: int
    max_entries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """The configuration of an environment, as submitted by operators.

    :param cut_on_withdrawal: whether running calls are cut off when
        their access is withdrawn; otherwise they may finish.
    :param bounds: limits on callers, or None if the document sets none.
    """

    version: int
    accounts: tuple[ClientAccount, ...]
    models: tuple[Model, ...]
    routes: tuple[Route, ...]
    register: RegisterLimits
    cut_on_withdrawal: bool
    services: tuple[Service, ...] = ()
    bounds: CallerBounds | None = None
