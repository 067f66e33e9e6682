"""Finds and runs the command that the command line names."""

import importlib
import os
import sys

import fire
from fire import decorators

from bulrushrudder.commands import arguments
from bulrushrudder.commands import errors

# A process that serves pays for all that it imports, in its start and in
# its memory, so these commands are imported alone.
SERVICES = ('entry', 'control')


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


def _commands(words):
    """Return the commands that the first word may mean."""
    name = words[0] if words else ''
    if name in SERVICES:
        module = importlib.import_module(f'bulrushrudder.commands.{name}')
        return {name: getattr(module, name)}
    module = importlib.import_module('bulrushrudder.commands.catalogue')
    return module.COMMANDS


def _run(words):
    found = arguments.find(_commands(words), words)
    if found.names == ('bench',) and '--help' not in found.rest[:1]:
        found.command(*found.rest)
        return
    wants_help = any(flag in found.rest for flag in arguments.HELP_FLAGS)
    if wants_help or isinstance(found.command, dict):
        print(arguments.help_text(found))
        return
    normalised = arguments.normalise(found)
    command = found.command
    decorators.SetParseFns(**arguments.parsers(command))(command)
    fire.Fire(command, command=normalised, name=found.title)
