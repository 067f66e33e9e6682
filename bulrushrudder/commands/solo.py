"""Runs control and entry in one process."""

import contextlib

from bulrushrudder.commands import service
from bulrushrudder.control import process as control_process
from bulrushrudder.entry import process as entry_process


def solo(settings, log_format='json'):
    """Run control and entry on one loop, with one data folder.

    :param settings: the settings file of this VM.
    :param log_format: json or human.
    """
    found = service.load_settings(settings)
    service.require(found.entry, 'entry', settings)
    service.require(found.control, 'control', settings)
    service.serve(run, found, log_format)


async def run(found, stopping):
    """Run both until the event is set.

    :param found: the Settings.
    :param stopping: an asyncio Event.
    """
    async with contextlib.AsyncExitStack() as stack:
        await control_process.start(stack, found)
        await entry_process.run(found, stopping)
