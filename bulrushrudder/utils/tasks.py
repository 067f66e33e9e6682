"""Background tasks that an exit stack owns."""

import asyncio
import contextlib

from bulrushrudder.events import catalogue
from bulrushrudder.events import log


def spawn(stack, coroutine):
    """Run a coroutine until the exit stack closes.

    :param stack: an AsyncExitStack that owns the task.
    :returns: the task.
    """
    task = asyncio.create_task(coroutine)
    task.add_done_callback(report)
    stack.push_async_callback(cancel, task)
    return task


async def cancel(task):
    """Cancel a task and wait for its end."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError, Exception):
        await task


def report(task):
    """Log the exception of a finished task, if it has one."""
    if not task.cancelled() and task.exception():
        log.emit(catalogue.UNEXPECTED, detail=repr(task.exception()))
