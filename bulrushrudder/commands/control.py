"""Runs the control process."""

import functools

from bulrushrudder.commands import interfaces
from bulrushrudder.commands import service
from bulrushrudder.control import process


def control(settings, log_format='json'):
    """Run the control process, which holds the durable state.

    :param settings: the settings file of this VM.
    :param log_format: json or human.
    """
    found = service.load_settings(settings)
    service.require(found.control, 'control', settings)
    run = functools.partial(
        process.run, interface=interfaces.control(found.interface)
    )
    service.serve(run, found, log_format)
