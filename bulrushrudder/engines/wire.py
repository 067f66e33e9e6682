"""JSON that engines and the system exchange, checked by pydantic."""

import typing

import pydantic


class _EngineModel(pydantic.BaseModel):
    """Engines may add fields; those we know are checked."""

    model_config = pydantic.ConfigDict(extra='ignore')


class PrefillOrder(_EngineModel):
    """Computes the KV cache of a prompt and of tokens produced.

    An order says whose attempt it is, so that an engine can free all
    attempts of an owner at once.
    """

    attempt: str
    vm: str
    incarnation: int
    model: str
    prompt: str
    produced: list[str]
    priority: int


class PrefillReply(_EngineModel):
    """The KV cache is ready to be fetched."""

    attempt: str
    handle: str
    prompt_tokens: int = pydantic.Field(ge=0)


class DecodeOrder(_EngineModel):
    """Fetches a KV cache and produces tokens after those produced."""

    attempt: str
    vm: str
    incarnation: int
    model: str
    prompt: str
    kv_host: str
    kv_port: int
    kv_handle: str
    produced: list[str]
    max_tokens: int
    priority: int


class DecodeItem(_EngineModel):
    """One event of a decode stream: a token or the end."""

    attempt: str
    index: int = pydantic.Field(ge=0)
    text: str = ''
    finish_reason: str | None = None


class OwnerItem(_EngineModel):
    """All attempts of a VM's runs up to an incarnation."""

    vm: str
    incarnation: int


class CancelOrder(_EngineModel):
    """Frees what attempts hold, or all attempts of owners.

    An engine that takes the order also refuses those that come later.
    """

    attempts: list[str]
    owners: list[OwnerItem]


class CancelReply(_EngineModel):
    """Says of which attempts and owners something was held."""

    attempts: list[str]
    vms: list[str]


class ExportOrder(_EngineModel):
    """Stops an attempt and keeps its KV cache for another server."""

    attempt: str


class ExportReply(_EngineModel):
    """Says what is left of an attempt.

    :ivar known: whether the engine remembers the attempt at all.
    :ivar handle: names the KV cache, if it is still there.
    """

    known: bool
    handle: str | None = None


class Announcement(_EngineModel):
    """A backend server announces or renews itself."""

    model_config = pydantic.ConfigDict(extra='forbid')

    id: str = pydantic.Field(min_length=1, max_length=128)
    incarnation: int = pydantic.Field(ge=0)
    kind: typing.Literal['prefill', 'decode', 'service']
    host: str
    port: int = pydantic.Field(ge=1, le=65535)
    zone: str
    serves: list[str] = pydantic.Field(max_length=256)
    places: int = pydantic.Field(ge=1, le=100000)
    memory_tokens: int = pydantic.Field(default=0, ge=0)
    link_tokens_per_s: float = pydantic.Field(default=1e6, gt=0)
    checks_fencing: bool = False
    leaving: bool = False


Digest = typing.Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{1,16}$')]


class CacheEvent(_EngineModel):
    """What entered and left a prefix cache.

    Digests are XXH3 (64 bits, hexadecimal) over the first 1024 bytes of
    a prompt, the first 2048 and so on up to 131072.

    :param sequence: counts the events of an incarnation.
    """

    sequence: int = pydantic.Field(ge=0)
    stored: list[Digest] = pydantic.Field(default=[], max_length=4096)
    removed: list[Digest] = pydantic.Field(default=[], max_length=4096)


class Report(_EngineModel):
    """A model engine reports its load and changes of its cache.

    :param sequence: grows with each report of an incarnation.
    :param running: requests that it runs.
    :param step_s: seconds between tokens, on a decode server.
    :param tokens_per_s: tokens it computes a second, on a prefill server.
    """

    id: str = pydantic.Field(min_length=1, max_length=128)
    incarnation: int = pydantic.Field(ge=0)
    sequence: int = pydantic.Field(ge=0)
    running: int = pydantic.Field(default=0, ge=0, le=100000)
    step_s: float = pydantic.Field(default=0.0, ge=0, le=3600)
    tokens_per_s: float = pydantic.Field(default=0.0, ge=0, le=1e9)
    cache_events: list[CacheEvent] = pydantic.Field(default=[], max_length=64)
