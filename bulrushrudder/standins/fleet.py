"""A set of stand-ins that announce themselves as backend servers."""

import dataclasses
import time

from bulrushrudder.config import settings
from bulrushrudder.standins import announcer
from bulrushrudder.standins import engine
from bulrushrudder.standins import service
from bulrushrudder.utils import ports
from bulrushrudder.utils import tasks
from bulrushrudder.utils import web


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The running stand-ins."""

    prefill: engine.Engine
    decode: engine.Engine
    service: service.Service


async def start(
    stack,
    session,
    backends_url,
    secret,
    model,
    service_id,
    token_s=engine.TOKEN_INTERVAL_S,
    prefill_s=engine.PREFILL_DURATION_S,
):
    """Start one prefill, one decode and one service stand-in.

    :param stack: an AsyncExitStack that closes what is opened.
    :param backends_url: base URL of the backend API of a VM.
    :param secret: the secret of backend servers, as text.
    :param model: id of the model that the engines serve.
    :param service_id: id of the service.
    :param token_s: seconds between two tokens.
    :param prefill_s: seconds that a prefill takes.
    :returns: a Fleet.
    """
    fleet = Fleet(
        engine.Engine(token_s, prefill_s),
        engine.Engine(token_s, prefill_s),
        service.Service(),
    )
    kinds = (
        ('prefill', fleet.prefill, model),
        ('decode', fleet.decode, model),
        ('service', fleet.service, service_id),
    )
    for kind, server, serves in kinds:
        address = settings.Address(ports.LOOPBACK, 0)
        port = await web.listen(stack, server.application(), address)
        content = _announcement(kind, port, serves)
        server_announcer = announcer.Announcer(
            session, backends_url, secret, content
        )
        tasks.spawn(stack, server_announcer.run())
    return fleet


def _announcement(kind, port, serves):
    return {
        'id': f'{kind}-1',
        'incarnation': time.time_ns(),
        'kind': kind,
        'host': ports.LOOPBACK,
        'port': port,
        'zone': 'a',
        'serves': [serves],
        'places': 20,
        'memory_tokens': 400000,
    }
