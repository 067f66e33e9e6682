"""Reads what the platform's runners say of themselves."""

import dataclasses

import pydantic
from returns import result

from bulrushrudder.core import ids
from bulrushrudder.state import servers
from bulrushrudder.utils import web

SERVICE_KIND = 'service'
# What the sheets give; runners do not say it, and requests soon show it.
INITIAL_SPEED = servers.InitialSpeed(
    prefill_base_s=0.04, prefill_tokens_per_s=31_000.0, token_s=0.0042
)
_MAX_PORT = 65535


class AnnouncementModel(pydantic.BaseModel):
    """A runner's heartbeat.

    ``born`` is the Unix millisecond of the runner's start. ``slots`` is
    how many requests it runs at once. ``stage`` is only there for
    engines.
    """

    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    service: str
    address: str
    zone: str
    slots: int = pydantic.Field(ge=1)
    state: str = pydantic.Field(pattern='^(ready|draining)$')
    stage: str | None = pydantic.Field(
        default=None, pattern='^(prefill|decode)$'
    )
    sequence: int = pydantic.Field(ge=0)
    born: int = pydantic.Field(default=0, ge=0)

    @pydantic.field_validator('address')
    @classmethod
    def _check_address(cls, address):
        host, _, port = address.rpartition(':')
        if not host or not port.isdecimal() or int(port) > _MAX_PORT:
            raise ValueError('expected HOST:PORT')
        return address


class DepartureModel(pydantic.BaseModel):
    """What may stand in the body of a runner's last call."""

    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    born: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A runner's heartbeat, read.

    :param leaving: whether it wants no new work.
    :param sequence: counts the heartbeats of its incarnation.
    """

    server: servers.BackendServer
    leaving: bool
    sequence: int


def read(server_id, body, services_by_id):
    """Read a heartbeat.

    :param server_id: the runner's id, from the path.
    :param services_by_id: the services of the document in force; empty
        where none is known yet.
    :returns: the Announcement, or a text that says what is wrong.
    """
    try:
        found = AnnouncementModel.model_validate_json(body)
    except pydantic.ValidationError as error:
        return result.Failure(web.first_error(error))
    service = services_by_id.get(found.service)
    if services_by_id and service is None:
        return result.Failure('service: not in the configuration')
    server = _server(server_id, found, service.engine if service else None)
    leaving = found.state == 'draining'
    return result.Success(Announcement(server, leaving, found.sequence))


def read_departure(body):
    """Return the incarnation that a departing runner names, or None."""
    if not body:
        return None
    try:
        return DepartureModel.model_validate_json(body).born
    except pydantic.ValidationError:
        return None


def _server(server_id, found, engine):
    host, _, port = found.address.rpartition(':')
    return servers.BackendServer(
        id=ids.ServerId(server_id),
        incarnation=found.born,
        kind=found.stage or SERVICE_KIND,
        host=host,
        port=int(port),
        zone=ids.Zone(found.zone),
        serves=(found.service,),
        places=engine.places if engine else found.slots,
        memory_tokens=engine.memory_tokens if engine else 0,
        link_tokens_per_s=engine.link_tokens_per_s if engine else 0.0,
        checks_fencing=False,
        piece_tokens=engine.piece_tokens if engine else 1,
        run_id=server_id,
        allocates_memory_gradually=True,
        can_prefill=True,
        initial_speed=INITIAL_SPEED,
    )
