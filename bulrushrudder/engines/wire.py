"""JSON models of the messages exchanged with engines."""

import typing

import pydantic


class _EngineModel(pydantic.BaseModel):
    """Base model; ignores unknown fields, as engines may add some."""

    model_config = pydantic.ConfigDict(extra='ignore')


class PrefillOrder(_EngineModel):
    """Computes the KV cache of a prompt and the tokens produced so far.

    An order names the owner of the attempt, so that an engine can cancel
    all attempts of an owner at once.
    """

    attempt: str
    vm: str
    incarnation: int
    model: str
    prompt: str
    produced: list[str]
    priority: int


class PrefillReply(_EngineModel):
    """Response to PrefillOrder: the KV cache is ready to be fetched.

    :ivar handle: names the KV cache.
    """

    attempt: str
    handle: str
    prompt_tokens: int = pydantic.Field(ge=0)


class DecodeOrder(_EngineModel):
    """Fetches a KV cache and produces the tokens that follow."""

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
    """All attempts of a VM up to and including an incarnation."""

    vm: str
    incarnation: int


class CancelOrder(_EngineModel):
    """Cancels attempts, or all attempts of owners.

    The engine also refuses orders of these attempts that arrive later.
    """

    attempts: list[str]
    owners: list[OwnerItem]


class CancelReply(_EngineModel):
    """Response to CancelOrder: attempts and owners that held resources."""

    attempts: list[str]
    vms: list[str]


class ExportOrder(_EngineModel):
    """Stops an attempt and keeps its KV cache for another server."""

    attempt: str


class ExportReply(_EngineModel):
    """Response to ExportOrder.

    :ivar known: whether the engine still knows the attempt.
    :ivar handle: names the KV cache, None if it is gone.
    """

    known: bool
    handle: str | None = None


class Announcement(_EngineModel):
    """Announcement of a backend server, or its renewal."""

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
    """Prefixes added to and removed from a prefix cache.

    Digests are 64-bit XXH3 in hexadecimal over the first 1024 bytes of a
    prompt, the first 2048 bytes and so on up to 131072 bytes.

    :param sequence: counts the events of an incarnation.
    """

    sequence: int = pydantic.Field(ge=0)
    stored: list[Digest] = pydantic.Field(default=[], max_length=4096)
    removed: list[Digest] = pydantic.Field(default=[], max_length=4096)


class Report(_EngineModel):
    """Report of a model engine about its load and prefix cache.

    :param sequence: increases with each report of an incarnation.
    :param running: number of running requests.
    :param step_s: seconds between tokens on a decode server, else 0.
    :param tokens_per_s: prompt tokens per second of a prefill server,
        else 0.
    """

    id: str = pydantic.Field(min_length=1, max_length=128)
    incarnation: int = pydantic.Field(ge=0)
    sequence: int = pydantic.Field(ge=0)
    running: int = pydantic.Field(default=0, ge=0, le=100000)
    step_s: float = pydantic.Field(default=0.0, ge=0, le=3600)
    tokens_per_s: float = pydantic.Field(default=0.0, ge=0, le=1e9)
    cache_events: list[CacheEvent] = pydantic.Field(default=[], max_length=64)
