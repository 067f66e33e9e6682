"""Finds and runs the command that the command line names."""

import os
import sys

import fire
from fire import decorators

from bulrushrudder.commands import arguments
from bulrushrudder.commands import bench
from bulrushrudder.commands import control
from bulrushrudder.commands import demo
from bulrushrudder.commands import document
from bulrushrudder.commands import entry
from bulrushrudder.commands import errors
from bulrushrudder.commands import key
from bulrushrudder.commands import solo
from bulrushrudder.commands import status
from bulrushrudder.commands import version

COMMANDS = {
    'entry': entry.entry,
    'control': control.control,
    'solo': solo.solo,
    'demo': demo.demo,
    'document': {
        'check': document.check,
        'submit': document.submit,
        'promote': document.promote,
        'show': document.show,
        'history': document.history,
        'diff': document.diff,
    },
    'key': {'new': key.new},
    'status': status.status,
    'bench': bench.bench,
    'version': version.version,
}


def main(words=None):
    """Run the command line.

    :param words: the words after the program's name.
    :returns: the exit code.
    """
    words = sys.argv[1:] if words is None else words
    try:
        _run(words)
        sys.stdout.flush()
    except errors.CommandError as error:
        return error.report()
    except BrokenPipeError:
        # Keeps the interpreter from flushing to the closed pipe again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(errors.ExitCode.FAILED)
    except KeyboardInterrupt:
        return int(errors.ExitCode.INTERRUPTED)
    return int(errors.ExitCode.OK)


def _run(words):
    found = arguments.find(COMMANDS, words)
    if found.command is bench.bench and '--help' not in found.rest[:1]:
        bench.bench(*found.rest)
        return
    wants_help = any(flag in found.rest for flag in arguments.HELP_FLAGS)
    if wants_help or isinstance(found.command, dict):
        print(arguments.help_text(found))
        return
    normalised = arguments.normalise(found)
    command = found.command
    decorators.SetParseFns(**arguments.parsers(command))(command)
    fire.Fire(command, command=normalised, name=found.title)
