"""Functions shared by the commands that run a process."""

import asyncio
import gc
import signal
import sys

from returns import result

from bulrushrudder.commands import errors
from bulrushrudder.config import settings_file
from bulrushrudder.events import log
from bulrushrudder.utils import event_loop
from bulrushrudder.utils import stop_signal


def load_settings(file):
    """Return the Settings in a file.

    :raises CommandError: if the file is invalid.
    """
    match settings_file.load(file):
        case result.Success(settings):
            return settings
        case result.Failure(problems):
            raise errors.CommandError(
                errors.ExitCode.INVALID_FILE, *map(str, problems)
            )


def require(section, name, file):
    """Check that a section of the settings is present.

    :raises CommandError: if it is missing.
    """
    if section is None:
        raise errors.CommandError(
            errors.ExitCode.INVALID_FILE,
            f'{file}:0: {name}: required section is missing',
        )


def serve(run, settings, log_format='json'):
    """Run a process until SIGTERM or SIGINT.

    A further signal only logs what the process still waits for.

    :param run: coroutine function of (settings, stopping).
    :param settings: the Settings.
    :param log_format: json or human.
    """
    if log_format not in ('json', 'human'):
        raise errors.CommandError(
            errors.ExitCode.USAGE,
            f'--log-format: expected json or human, found {log_format!r}',
        )
    # Imported objects live as long as the process; frozen, they do not
    # lengthen the pauses of garbage collections.
    gc.freeze()
    gc.enable()
    handler = log.bounded_handler(sys.stdout.fileno(), log_format)
    with handler.applicationbound():
        event_loop.run(_run_until_signal(run, settings))


async def _run_until_signal(run, settings):
    stop_event = stop_signal.StopSignal()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_event.request)
    loop.add_signal_handler(signal.SIGHUP, stop_event.reload)
    await run(settings, stop_event)
