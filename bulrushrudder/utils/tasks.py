"""Background tasks owned by an exit stack."""

import asyncio
import contextlib

from bulrushrudder.events import catalogue
from bulrushrudder.events import log


def spawn(stack, coroutine):
    """Run a coroutine as a task that is cancelled with the exit stack.

    :param stack: an AsyncExitStack that owns the task.
    :returns: the task.
    """
    task = asyncio.create_task(coroutine)
    task.add_done_callback(log_exception)
    stack.push_async_callback(cancel, task)
    return task


async def cancel(task):
    """Cancel a task and wait until it has ended."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError, Exception):
        await task


def log_exception(task):
    """Log the exception of a finished task, if it has one."""
    if not task.cancelled() and task.exception():
        log.emit(catalogue.UNEXPECTED, detail=repr(task.exception()))
