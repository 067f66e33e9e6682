"""The solo command: control and entry in one process."""

import contextlib
import dataclasses

from bulrushrudder.commands import service
from bulrushrudder.control import process as control_process
from bulrushrudder.entry import process as entry_process


def solo(settings, log_format='json'):
    """Run control and entry in one process, with one data folder.

    :param settings: the settings file of this VM.
    :param log_format: json or human.
    """
    loaded = service.load_settings(settings)
    service.require(loaded.entry, 'entry', settings)
    service.require(loaded.control, 'control', settings)
    limits = dataclasses.replace(loaded.limits, roles=2)
    loaded = dataclasses.replace(loaded, limits=limits)
    service.serve(run, loaded, log_format)


async def run(settings, stopping):
    """Run both processes until they are stopped.

    :param settings: the Settings.
    :param stopping: the StopSignal that ends them.
    """
    async with contextlib.AsyncExitStack() as stack:
        await control_process.start(stack, settings)
        await entry_process.run(settings, stopping)
