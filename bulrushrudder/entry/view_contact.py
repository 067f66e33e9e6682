"""Holds sends back until the view of a process that was paused is current."""

import asyncio

POLL_INTERVAL_S = 0.02


async def settle(view):
    """Wait until the view is as current as this VM can have it.

    Without a pause of the process lately, it is so at once. The wait has
    the bound of the view.

    :param view: the View of the log.
    :returns: whether it waited, so that earlier decisions are outdated.
    """
    loop = asyncio.get_running_loop()
    waited = False
    while not view.is_settled(loop.time()):
        waited = True
        await asyncio.sleep(POLL_INTERVAL_S)
    return waited
