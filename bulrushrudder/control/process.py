"""Starts and stops the control process."""

import asyncio
import contextlib
import time

from bulrushrudder.control import operators
from bulrushrudder.control import server
from bulrushrudder.core import ids
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.metrics import control as metrics_control
from bulrushrudder.metrics import listener as metrics_listener
from bulrushrudder.protocol import link
from bulrushrudder.utils import tasks
from bulrushrudder.utils import web


async def start(stack, settings):
    """Start the control process.

    :param stack: an AsyncExitStack that owns all that is opened.
    :param settings: the VM's Settings.
    :returns: the Control.
    """
    owner = ids.Owner(ids.VmId(f'{settings.vm}/control'), time.time_ns())
    control = server.Control()
    listener = await link.listen(
        settings.control.inner, owner, settings.secrets.cluster, control.handle
    )
    stack.callback(listener.close)
    metrics = metrics_control.ControlMetrics()
    front = operators.Operators(control, settings.secrets.operators, metrics)
    await web.listen(stack, front.application(), settings.control.operators)
    shown = metrics_listener.application(metrics)
    await web.listen(stack, shown, settings.control.metrics)
    tasks.spawn(stack, control.run())
    log.emit(catalogue.CONTROL_STARTED, inner=str(settings.control.inner))
    stack.callback(log.emit, catalogue.CONTROL_STOPPED)
    return control


async def run(settings, stopping):
    """Run the control process until the event is set.

    :param stopping: an asyncio Event.
    """
    async with contextlib.AsyncExitStack() as stack:
        await start(stack, settings)
        await asyncio.shield(stopping.wait())
