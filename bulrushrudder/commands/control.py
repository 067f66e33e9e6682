"""The control command: run the control process."""

import functools

from bulrushrudder.commands import interfaces
from bulrushrudder.commands import service
from bulrushrudder.control import process


def control(settings, log_format='json'):
    """Run the control process, which stores the durable state.

    :param settings: the settings file of this VM.
    :param log_format: json or human.
    """
    loaded = service.load_settings(settings)
    service.require(loaded.control, 'control', settings)
    run = functools.partial(
        process.run, interface=interfaces.control(loaded.interface)
    )
    service.serve(run, loaded, log_format)
