"""Runs the entry process."""

import functools

from bulrushrudder.commands import interfaces
from bulrushrudder.commands import service
from bulrushrudder.entry import process


def entry(settings, log_format='json'):
    """Run the entry process, between callers and backend servers.

    :param settings: the settings file of this VM.
    :param log_format: json or human.
    """
    found = service.load_settings(settings)
    service.require(found.entry, 'entry', settings)
    run = functools.partial(
        process.run, interface=interfaces.entry(found.interface)
    )
    service.serve(run, found, log_format)
