"""What the commands that run a process share."""

import asyncio
import gc
import signal
import sys

from returns import result

from bulrushrudder.commands import errors
from bulrushrudder.config import settings_file
from bulrushrudder.events import log
from bulrushrudder.utils import stop_signal


def load_settings(file):
    """Return the Settings in a file.

    :raises CommandError: where the file has mistakes.
    """
    match settings_file.load(file):
        case result.Success(found):
            return found
        case result.Failure(problems):
            raise errors.CommandError(
                errors.ExitCode.INVALID_FILE, *map(str, problems)
            )


def require(section, name, file):
    """Check that a section of the settings is there.

    :raises CommandError: where it is missing.
    """
    if section is None:
        raise errors.CommandError(
            errors.ExitCode.INVALID_FILE,
            f'{file}:0: {name}: required section is missing',
        )


def serve(run, found, log_format='json'):
    """Run a process until SIGTERM or SIGINT.

    A second signal only reports what the process still waits for.

    :param run: coroutine function of (settings, stopping).
    :param found: the Settings.
    :param log_format: json or human.
    """
    if log_format not in ('json', 'human'):
        raise errors.CommandError(
            errors.ExitCode.USAGE, '--log-format is json or human'
        )
    # What was imported lives as long as the process; collections that
    # hold calls up need not look at it.
    gc.freeze()
    gc.enable()
    handler = log.bounded_handler(sys.stdout.fileno(), log_format)
    with handler.applicationbound():
        asyncio.run(_until_signal(run, found))


async def _until_signal(run, found):
    found_stopping = stop_signal.StopSignal()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, found_stopping.request)
    loop.add_signal_handler(signal.SIGHUP, found_stopping.reload)
    await run(found, found_stopping)
