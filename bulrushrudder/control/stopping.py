"""Stops a control process without cutting off what it has accepted."""

import asyncio

from bulrushrudder.events import catalogue
from bulrushrudder.events import log

UPLOAD_TIMEOUT_S = 0.5
# An election after the loss of another process takes up to 1.4 s.
FINISH_TIMEOUT_S = 2.0


async def stop(control, in_flight, log_task):
    """Transfer leadership and finish the requests in flight.

    The log goes on meanwhile, as requests wait for its commits.

    :param control: the ControlProcess.
    :param in_flight: the RequestsInFlight of operators and servers.
    :param log_task: the task that runs the log; it has ended if the disk
        has failed.
    """
    in_flight.refuse()
    log.emit(catalogue.CONTROL_STOPPING, requests=in_flight.number)
    if log_task.done():
        await in_flight.finish(0.0, 0.0)
        return
    await asyncio.gather(
        control.node.transfer_leadership(),
        in_flight.finish(UPLOAD_TIMEOUT_S, FINISH_TIMEOUT_S),
    )
