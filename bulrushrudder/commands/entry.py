"""The entry command: run the entry process."""

import functools

from bulrushrudder.commands import interfaces
from bulrushrudder.commands import service
from bulrushrudder.entry import process


def entry(settings, log_format='json'):
    """Run the entry process, between callers and backend servers.

    :param settings: the settings file of this VM.
    :param log_format: json or human.
    """
    loaded = service.load_settings(settings)
    service.require(loaded.entry, 'entry', settings)
    run = functools.partial(
        process.run, interface=interfaces.entry(loaded.interface)
    )
    service.serve(run, loaded, log_format)
