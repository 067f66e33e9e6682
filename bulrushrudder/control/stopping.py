"""Stops a control process without cutting off what it has accepted."""

import asyncio
import dataclasses

from bulrushrudder.control import accepted_links
from bulrushrudder.control import kind_orders
from bulrushrudder.control import requests_in_flight
from bulrushrudder.control import server
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.utils import acceptor
from bulrushrudder.utils import http_listener as listeners

UPLOAD_TIMEOUT_S = 0.5
# An election after the loss of another process takes up to 1.4 s.
FINISH_TIMEOUT_S = 2.0
LINKS_TIMEOUT_S = 0.5
# Requests that are on their way when the listener closes are refused
# within this time.
REFUSE_S = 0.2
FLUSH_TIMEOUT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """What a stop has to finish.

    :param control: the ControlProcess.
    :param in_flight: the RequestsInFlight of operators and servers.
    :param http_listener: the HttpListener that accepts those.
    :param links: the AcceptedLinks of other processes.
    :param link_listener: the Acceptor that accepts them.
    :param log_task: the task that runs the log; it has ended if the disk
        has failed.
    :param order_sender: the OrderSender; None if servers accept no orders.
    :param order_task: the task that runs it, or None.
    """

    control: server.ControlProcess
    in_flight: requests_in_flight.RequestsInFlight
    http_listener: listeners.HttpListener
    links: accepted_links.AcceptedLinks
    link_listener: acceptor.Acceptor
    log_task: asyncio.Task
    order_sender: kind_orders.OrderSender | None = None
    order_task: asyncio.Task | None = None


async def stop(parts):
    """Transfer leadership and finish the requests in flight.

    The log goes on meanwhile, as requests wait for its commits. Observers
    change over to another process as soon as they have their answers.

    :param parts: the Parts.
    """
    parts.control.stopping = True
    parts.in_flight.refuse()
    if parts.order_sender is not None:
        parts.order_sender.stop()
    log.emit(catalogue.CONTROL_STOPPING, requests=parts.in_flight.number)
    if parts.log_task.done():
        await parts.in_flight.finish(0.0, 0.0)
    else:
        await _finish(parts)
    await _close(parts)


async def _finish(parts):
    """Transfer leadership, and answer what has been accepted."""
    control = parts.control
    await asyncio.gather(
        control.node.announce_stop(),
        parts.in_flight.finish(UPLOAD_TIMEOUT_S, FINISH_TIMEOUT_S),
        parts.links.finish(FINISH_TIMEOUT_S, control.is_observer),
        _finish_orders(parts.order_task),
    )


async def _close(parts):
    """Close listeners and links; nothing unread or unsent is lost."""
    await parts.http_listener.stop_accepting()
    parts.link_listener.close()
    parts.links.refuse()
    await asyncio.gather(
        parts.links.finish(LINKS_TIMEOUT_S), asyncio.sleep(REFUSE_S)
    )
    await parts.http_listener.flush(FLUSH_TIMEOUT_S)


async def _finish_orders(order_task):
    """Wait for the answers to orders that were sent."""
    if order_task is not None:
        await asyncio.wait([order_task], timeout=FINISH_TIMEOUT_S)
