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
    """

    id: ids.AccountId
    rate: float
    burst: int
    weight: float
    key_digests: tuple[str, ...]


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


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What callers may ask for at a path.

    :param accounts: the client accounts that may use the route; empty
        for all of them.
    :param open: whether the route is open to all, without a key.
    :param repeatable: whether a call may run more than once.
    :param patience_s: seconds that a call may wait for its tokens.
    """

    id: ids.RouteId
    method: str
    path: str
    target: ModelTarget | ServiceTarget
    urgency: Urgency
    accounts: tuple[ids.AccountId, ...]
    open: bool
    repeatable: bool
    patience_s: float


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
