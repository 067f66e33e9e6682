"""Parses the heartbeats of the platform's runners."""

import dataclasses

import pydantic
from returns import result

from bulrushrudder.core import ids
from bulrushrudder.state import servers
from bulrushrudder.utils import web

SERVICE_KIND = 'service'
# Runners don't announce their speed. These are the platform's published
# figures, used until measurements from requests replace them.
INITIAL_SPEED = servers.InitialSpeed(
    prefill_base_s=0.04, prefill_tokens_per_s=31_000.0, token_s=0.0042
)
_MAX_PORT = 65535
# Integers on the log and on links have 64 bits.
MAX_INTEGER = 2**63 - 1
MAX_VERSION_LENGTH = 200
# Announcements are replicated, and kept in memory on every VM.
MAX_ID_LENGTH = 200
MAX_NAME_LENGTH = 200
MAX_ADDRESS_LENGTH = 300


class AnnouncementModel(pydantic.BaseModel):
    """The body of a runner's heartbeat.

    ``version`` is that of its software. ``born`` is the start time of the
    runner in Unix milliseconds. ``slots`` is the number of requests that it
    runs concurrently. Only engines have a ``stage``. ``cold_remaining_ms``
    is how long it will remain cold, 0 if it is not.
    """

    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    service: str = pydantic.Field(max_length=MAX_NAME_LENGTH)
    address: str = pydantic.Field(max_length=MAX_ADDRESS_LENGTH)
    zone: str = pydantic.Field(max_length=MAX_NAME_LENGTH)
    version: str = pydantic.Field(default='', max_length=MAX_VERSION_LENGTH)
    slots: int = pydantic.Field(ge=1, le=MAX_INTEGER)
    state: str = pydantic.Field(pattern='^(ready|draining)$')
    stage: str | None = pydantic.Field(
        default=None, pattern='^(prefill|decode)$'
    )
    sequence: int = pydantic.Field(ge=0, le=MAX_INTEGER)
    born: int = pydantic.Field(default=0, ge=0, le=MAX_INTEGER)
    cold_remaining_ms: float | None = None

    @pydantic.field_validator('address')
    @classmethod
    def _check_address(cls, address):
        host, _, port = address.rpartition(':')
        if not host or not port.isdecimal() or int(port) > _MAX_PORT:
            raise ValueError(f'got {address!r}, expected HOST:PORT')
        return address


class DepartureModel(pydantic.BaseModel):
    """The optional body of a runner's departure notice."""

    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    born: int | None = pydantic.Field(default=None, ge=0, le=MAX_INTEGER)


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A runner's heartbeat after validation.

    :param leaving: whether the runner takes no new work.
    :param sequence: number of the heartbeat within the incarnation.
    """

    server: servers.BackendServer
    leaving: bool
    sequence: int


def read(server_id, body, services_by_id, knows_cold=False):
    """Parse a heartbeat.

    :param server_id: the runner's id, from the path.
    :param body: the JSON body as bytes.
    :param services_by_id: the services of the document in force; empty
        while there is no document.
    :param knows_cold: whether the settings bound the requests to cold
        servers.
    :returns: the Announcement, or an error message.
    """
    if len(server_id) > MAX_ID_LENGTH:
        return result.Failure(
            f'the id has {len(server_id)} characters, at most '
            f'{MAX_ID_LENGTH} are allowed'
        )
    try:
        heartbeat = AnnouncementModel.model_validate_json(body)
    except pydantic.ValidationError as error:
        return result.Failure(web.format_first_error(error))
    service = services_by_id.get(heartbeat.service)
    if services_by_id and service is None:
        return result.Failure(
            f'service: {heartbeat.service!r} is not in the configuration'
        )
    server = _server(server_id, heartbeat, service.engine if service else None)
    if knows_cold and service:
        pace = service.cold_requests_per_s
        cold = pace > 0 and (heartbeat.cold_remaining_ms or 0) > 0
        server = dataclasses.replace(
            server, cold_requests_per_s=pace, cold=cold
        )
    leaving = heartbeat.state == 'draining'
    return result.Success(Announcement(server, leaving, heartbeat.sequence))


def read_departure(body):
    """Return the incarnation stated in a departure notice, or None."""
    if not body:
        return None
    try:
        return DepartureModel.model_validate_json(body).born
    except pydantic.ValidationError:
        return None


def _server(server_id, heartbeat, engine):
    host, _, port = heartbeat.address.rpartition(':')
    return servers.BackendServer(
        id=ids.ServerId(server_id),
        incarnation=heartbeat.born,
        kind=heartbeat.stage or SERVICE_KIND,
        host=host,
        port=int(port),
        zone=ids.Zone(heartbeat.zone),
        serves=(heartbeat.service,),
        places=engine.places if engine else heartbeat.slots,
        memory_tokens=engine.memory_tokens if engine else 0,
        link_tokens_per_s=engine.link_tokens_per_s if engine else 0.0,
        checks_fencing=False,
        piece_tokens=engine.piece_tokens if engine else 1,
        run_id=server_id,
        allocates_memory_gradually=True,
        can_prefill=True,
        initial_speed=INITIAL_SPEED,
        software=heartbeat.version,
    )
