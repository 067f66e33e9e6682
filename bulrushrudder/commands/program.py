"""The entry point of the command line."""

import importlib
import os
import sys

import fire
from fire import decorators

from bulrushrudder.commands import arguments
from bulrushrudder.commands import errors

# Imports cost a service start-up time and memory, so only the module of the
# command is imported for these.
SERVICES = ('entry', 'control')


def main(args=None):
    """Run the command line.

    :param args: the arguments after the program's name; sys.argv if
        None.
    :returns: the exit code.
    """
    args = sys.argv[1:] if args is None else args
    try:
        _run(args)
        sys.stdout.flush()
    except errors.CommandError as error:
        return error.report()
    except BrokenPipeError:
        # Keeps the interpreter from flushing to the closed pipe at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(errors.ExitCode.FAILED)
    except KeyboardInterrupt:
        return int(errors.ExitCode.INTERRUPTED)
    return int(errors.ExitCode.OK)


def _commands(args):
    """Return the commands that the first argument may name."""
    name = args[0] if args else ''
    if name in SERVICES:
        module = importlib.import_module(f'bulrushrudder.commands.{name}')
        return {name: getattr(module, name)}
    module = importlib.import_module('bulrushrudder.commands.catalogue')
    return module.COMMANDS


def _run(args):
    resolved = arguments.resolve(_commands(args), args)
    if resolved.names == ('bench',) and '--help' not in resolved.rest[:1]:
        resolved.command(*resolved.rest)
        return
    wants_help = any(flag in resolved.rest for flag in arguments.HELP_FLAGS)
    if wants_help or isinstance(resolved.command, dict):
        print(arguments.help_text(resolved))
        return
    normalised = arguments.normalise(resolved)
    command = resolved.command
    decorators.SetParseFns(**arguments.value_parsers(command))(command)
    fire.Fire(command, command=normalised, name=resolved.title)
