"""Converts the platform's configuration into a Document."""

import math
import typing

import pydantic
from returns import result

from bulrushrudder.core import ids
from bulrushrudder.core import keys
from bulrushrudder.core import units
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.utils import web

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6
# Size of the blocks in which the platform's runners allocate KV memory.
BLOCK_TOKENS = 16
# Rate and burst of accounts without a limit; larger than any cost.
UNLIMITED_TOKENS = 1_000_000_000
# A call may wait this long for its tokens before it is refused; the
# shortest latency target on the platform is 100 ms.
TOKEN_WAIT_TIMEOUT_S = 0.15
DEFAULT_RANK = 5
DEFAULT_ATTEMPTS = 1
DEFAULT_BETWEEN_EVENTS_MS = 300

_REPETITION_BY_ROUTE_TYPE = {
    'idempotent': types.Repetition.WHOLE,
    'non_idempotent': types.Repetition.NOTHING,
    'streaming': types.Repetition.NOTHING,
}


def _items(**terms):
    """Return a list field whose validation ends at the first error.

    Only the first error is reported, and each takes a kilobyte and more.
    """
    return pydantic.Field(fail_fast=True, **terms)


class _ConfigurationPart(pydantic.BaseModel):
    """Base of all parts of the configuration; ignores unknown fields."""

    model_config = pydantic.ConfigDict(extra='ignore', strict=True)


class ShareModel(_ConfigurationPart):
    """A service's share of the calls of a route."""

    service: str
    weight: float = pydantic.Field(ge=0)


_Shares = typing.Annotated[list[ShareModel], _items()]


class RouteModel(_ConfigurationPart):
    """A route.

    ``split`` overrides ``service``. ``target_itl_ms`` is the longest
    pause between events, not between tokens.
    """

    name: str
    host: str
    path_prefix: str = pydantic.Field(min_length=1)
    route_type: str
    timeout_ms: float = pydantic.Field(gt=0)
    target_latency_ms: float | None = None
    priority: int = DEFAULT_RANK
    service: str | None = None
    split: _Shares | None = None
    max_attempts: int = pydantic.Field(default=DEFAULT_ATTEMPTS, ge=1)
    public: bool = False
    resumable: bool = False
    target_itl_ms: float | None = None

    @pydantic.field_validator('route_type')
    @classmethod
    def _check_route_type(cls, kind):
        if kind not in _REPETITION_BY_ROUTE_TYPE:
            raise ValueError(
                f'unknown route type {kind!r}, expected idempotent, '
                'non_idempotent or streaming'
            )
        return kind

    def location(self):
        """Return the host and path that identify the route.

        Several routes may have one name.
        """
        return f'{self.host.lower()}{self.path_prefix}'

    def shares(self):
        """Return the Shares of the services of this route."""
        if self.split is None:
            return (types.Share(ids.ServiceId(self.service or ''), 1.0),)
        return tuple(
            types.Share(ids.ServiceId(part.service), part.weight)
            for part in self.split
        )

    def build(self):
        """Return the Route data class."""
        repetition = _REPETITION_BY_ROUTE_TYPE[self.route_type]
        streamed = self.route_type == 'streaming'
        if streamed and self.resumable:
            repetition = types.Repetition.REST
        target = types.SplitTarget(
            shares=self.shares(),
            timeout_s=self.timeout_ms / units.MS_PER_SECOND,
            answer_s=(self.target_latency_ms or self.timeout_ms)
            / units.MS_PER_SECOND,
            between_events_s=(self.target_itl_ms or DEFAULT_BETWEEN_EVENTS_MS)
            / units.MS_PER_SECOND,
            attempts=self.max_attempts,
            rank=self.priority,
            streamed=streamed,
            repetition=repetition,
        )
        return types.Route(
            id=ids.RouteId(f'{self.name} {self.location()}'),
            method='',
            path=self.path_prefix,
            target=target,
            urgency=types.Urgency.DEFERRED
            if streamed
            else types.Urgency.INTERACTIVE,
            accounts=(),
            open=self.public,
            repeatable=repetition is not types.Repetition.NOTHING,
            patience_s=TOKEN_WAIT_TIMEOUT_S,
            host=self.host.lower(),
            prefix=True,
        )


class EngineModel(_ConfigurationPart):
    """Properties that all engines of a service share.

    ``kv_bytes`` is the size of one token in the KV cache,
    ``kv_capacity`` is in tokens, and ``stride`` is the number of tokens
    per event of a stream.
    """

    slots: int = pydantic.Field(ge=1)
    kv_capacity: int = pydantic.Field(ge=0)
    kv_bytes: float = pydantic.Field(gt=0)
    link_mbps: float = pydantic.Field(gt=0)
    stride: int = pydantic.Field(default=1, ge=1)
    kv_retention_s: float = 0.5
    switch_s: float = 6.0

    def build(self):
        """Return the EngineProfile data class."""
        bytes_per_s = self.link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
        return types.EngineProfile(
            places=self.slots,
            memory_tokens=self.kv_capacity,
            piece_tokens=BLOCK_TOKENS,
            link_tokens_per_s=bytes_per_s / self.kv_bytes,
            event_tokens=self.stride,
            result_s=self.kv_retention_s,
            change_s=self.switch_s,
        )


class ServiceModel(_ConfigurationPart):
    """A service.

    ``cold_start_s`` is how long a server is cold after its start, and
    ``cold_per_s`` how many requests a second it sustains meanwhile.
    """

    name: str
    max_connections: int = pydantic.Field(default=100, ge=1)
    engine: EngineModel | None = None
    cold_start_s: float | None = pydantic.Field(default=None, ge=0)
    cold_per_s: float | None = pydantic.Field(default=None, ge=0)

    def build(self):
        """Return the Service data class."""
        return types.Service(
            id=ids.ServiceId(self.name),
            max_connections=self.max_connections,
            engine=self.engine.build() if self.engine else None,
            warm_up_s=self.cold_start_s or 0.0,
            cold_requests_per_s=self.cold_per_s or 0.0,
        )


class BoundsModel(_ConfigurationPart):
    """Limits on what clients send, with header and idle timeouts."""

    max_header_bytes: int = pydantic.Field(gt=0)
    max_body_bytes: int = pydantic.Field(gt=0)
    header_timeout_ms: float = pydantic.Field(gt=0)
    idle_timeout_ms: float = pydantic.Field(gt=0)

    def build(self):
        """Return the CallerBounds data class."""
        return types.CallerBounds(
            max_header_bytes=self.max_header_bytes,
            max_body_bytes=self.max_body_bytes,
            header_s=self.header_timeout_ms / units.MS_PER_SECOND,
            idle_s=self.idle_timeout_ms / units.MS_PER_SECOND,
        )


class TenantModel(_ConfigurationPart):
    """A client account.

    ``uncached_tokens`` is the cost of a request that doesn't state its
    tokens. If ``unit`` is not ``tokens``, each request costs one.
    """

    name: str
    api_keys: list[str] = _items(default=[])
    priority: int | None = None
    unit: str | None = None
    uncached_tokens: int = pydantic.Field(default=0, ge=0)
    rate_per_s: float = pydantic.Field(default=0, ge=0)
    burst: float = pydantic.Field(default=0, ge=0)

    def build(self):
        """Return the ClientAccount data class."""
        # A burst without a rate limits nothing; a rate without a burst
        # allows what comes in a second.
        limited = self.rate_per_s > 0
        by_tokens = self.unit == 'tokens'
        return types.ClientAccount(
            id=ids.AccountId(self.name),
            rate=self.rate_per_s if limited else float(UNLIMITED_TOKENS),
            burst=math.ceil(self.burst or self.rate_per_s)
            if limited
            else UNLIMITED_TOKENS,
            weight=1.0,
            key_digests=tuple(keys.digest(key) for key in self.api_keys),
            rank=self.priority,
            call_tokens=self.uncached_tokens if by_tokens else 1,
            by_tokens=by_tokens,
        )


class ConfigurationModel(_ConfigurationPart):
    """The whole configuration."""

    version: int = pydantic.Field(ge=1)
    routes: list[RouteModel] = _items()
    services: list[ServiceModel] = _items()
    limits: BoundsModel | None = None
    tenants: list[TenantModel] = _items(default=[])

    @pydantic.model_validator(mode='after')
    def _check_references(self):
        services = [service.name for service in self.services]
        _check_unique('service', services)
        _check_unique('route', [route.location() for route in self.routes])
        _check_unique('tenant', [tenant.name for tenant in self.tenants])
        all_keys = [k for t in self.tenants for k in set(t.api_keys)]
        _check_unique('key', all_keys)
        for route in self.routes:
            _check_shares(route, services)
        return self

    def build(self):
        """Return the Document data class."""
        return types.Document(
            version=self.version,
            accounts=tuple(tenant.build() for tenant in self.tenants),
            models=(),
            routes=tuple(route.build() for route in self.routes),
            register=lookups.EMPTY_DOCUMENT.register,
            cut_on_withdrawal=False,
            services=tuple(service.build() for service in self.services),
            bounds=self.limits.build() if self.limits else None,
        )


def _check_unique(kind, names):
    if len(set(names)) != len(names):
        raise ValueError(f'duplicate {kind}')


def _check_shares(route, services):
    shares = route.shares()
    if any(share.service not in services for share in shares):
        raise ValueError(f'route {route.name} refers to an unknown service')
    if sum(share.weight for share in shares) <= 0:
        raise ValueError(f'route {route.name}: the weights add up to 0')


class ServicesModel(_ConfigurationPart):
    """The services of a configuration."""

    services: list[ServiceModel] = _items()


def read_services(source):
    """Return the services of a configuration that is in force, by id.

    A document that was recorded by an earlier version lacks the fields
    which that version did not know. They are in the body that was
    submitted.

    :param source: the JSON body as bytes.
    :returns: Services by id; empty if the body cannot be read.
    """
    try:
        model = ServicesModel.model_validate_json(source)
    except pydantic.ValidationError:
        return {}
    services = (service.build() for service in model.services)
    return {service.id: service for service in services}


def read(source, max_parsed_bytes=None):
    """Validate a configuration and convert it to data classes.

    :param source: the JSON body as bytes.
    :param max_parsed_bytes: bytes that it may take once it is parsed; None
        for no limit.
    :returns: the Document, or an error message.
    """
    parsed_bytes = web.max_parsed_bytes(source)
    if max_parsed_bytes is not None and parsed_bytes > max_parsed_bytes:
        return result.Failure(
            f'the configuration may take {parsed_bytes} bytes once it is '
            f'parsed, this VM has {max_parsed_bytes} for it'
        )
    try:
        model = ConfigurationModel.model_validate_json(source)
    except pydantic.ValidationError as error:
        return result.Failure(web.format_first_error(error))
    return result.Success(model.build())
