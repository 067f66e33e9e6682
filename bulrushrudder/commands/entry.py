"""Runs the entry process."""

from bulrushrudder.commands import service
from bulrushrudder.entry import process


def entry(settings, log_format='json'):
    """Run the entry process, between callers and backend servers.

    :param settings: the settings file of this VM.
    :param log_format: json or human.
    """
    found = service.load_settings(settings)
    service.require(found.entry, 'entry', settings)
    service.serve(process.run, found, log_format)
