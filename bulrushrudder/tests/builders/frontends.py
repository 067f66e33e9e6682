"""Builders of callers' interfaces on the loopback interface."""

import asyncio
import itertools
import types

from bulrushrudder.config import settings
from bulrushrudder.documents import types as document_types
from bulrushrudder.entry import calls_in_flight
from bulrushrudder.entry import frontend
from bulrushrudder.metrics import entry as metrics_entry
from bulrushrudder.observers import view
from bulrushrudder.state import documents as state_documents
from bulrushrudder.tests.builders import documents
from bulrushrudder.tests.builders import fleet
from bulrushrudder.utils import http_listener
from bulrushrudder.utils import ports


def fresh_view(document, now_s):
    """Return a fresh view in which a document is in production."""
    fresh = view.View(document_types.Environment.PRODUCTION)
    fresh.apply(1, documents.submission(document, 'd1'))
    fresh.apply(2, state_documents.PromoteDocument(1, 'd1', 'ana'))
    fresh.confirm_round(fresh.begin_round(now_s), 2)
    return fresh


async def listen(stack, document, headers_s=60.0, body_s=60.0):
    """Serve callers, without backend servers.

    :returns: the port and a stub of the shared services.
    """
    now_s = asyncio.get_running_loop().time()
    services = types.SimpleNamespace(
        view=fresh_view(document, now_s),
        leaving=False,
        draining=False,
        in_flight=calls_in_flight.CallsInFlight(),
        owner=fleet.owner(),
        metrics=metrics_entry.EntryMetrics(),
        next_request_number=itertools.count(1).__next__,
    )
    callers_frontend = frontend.Frontend(services, body_s)
    address = settings.Address(ports.LOOPBACK, 0)
    timeouts = http_listener.ConnectionTimeouts(header_s=headers_s)
    listener = http_listener.HttpListener(
        callers_frontend.application(),
        http_listener.Options(
            cancel_handlers=True, get_timeouts=lambda: timeouts
        ),
    )
    await listener.open(stack, address)
    return listener.port, services
