"""Checks a command's words before fire calls the command.

fire calls a function first and complains about words that it could not
use afterwards, reads numbers and lists into text, and offers every
public attribute as a command. Here the words are checked and put into
one form that leaves fire nothing to guess.
"""

import dataclasses
import inspect
import re

from fire import helptext
from fire import trace

from bulrushrudder.commands import errors

HELP_FLAGS = ('--help', '-h')

_SHORT_FLAG = re.compile(r'^    -\w, --', re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The command that some words name.

    :param command: a function, or a group of commands.
    :param names: the words that led to it.
    :param rest: the words that follow.
    """

    command: object
    names: tuple[str, ...]
    rest: tuple[str, ...]

    @property
    def title(self):
        """Return how the command is called."""
        return ' '.join(('bulrushrudder', *self.names))


def find(commands, words):
    """Return the command that some words name.

    :param commands: functions and groups by name.
    :raises CommandError: where there is no such command.
    """
    found = Found(commands, (), tuple(words))
    while isinstance(found.command, dict) and found.rest:
        name, *rest = found.rest
        if name in HELP_FLAGS:
            return found
        if name not in found.command:
            known = ', '.join(found.command)
            raise _usage(found, f'no command {name!r}; try {known}')
        found = Found(found.command[name], (*found.names, name), tuple(rest))
    return found


def normalise(found):
    """Return a command's words in the form --name=value.

    :raises CommandError: where a word does not fit the command.
    """
    parameters = inspect.signature(found.command).parameters
    values_by_name = _read(found, parameters)
    missing = [
        name
        for name, parameter in parameters.items()
        if parameter.default is parameter.empty and name not in values_by_name
    ]
    if missing:
        raise _usage(found, f'{missing[0]} is missing')
    return [
        f'--{name}={_checked(found, parameters[name], value)}'
        for name, value in values_by_name.items()
    ]


def _read(found, parameters):
    values_by_name = {}
    positional = [n for n, p in parameters.items() if not _is_flag(p)]
    words = list(found.rest)
    while words:
        word = words.pop(0)
        name, value = _split(found, word, parameters)
        if name is None:
            free = [n for n in positional if n not in values_by_name]
            if not free:
                raise _usage(found, f'{word!r} is one word too many')
            name = free[0]
        elif value is None and _is_flag(parameters[name]):
            value = 'True'
        elif value is None:
            value = words.pop(0) if words else None
        if value is None:
            raise _usage(found, f'--{_shown(name)} needs a value')
        if name in values_by_name:
            raise _usage(found, f'{_shown(name)} is given twice')
        values_by_name[name] = value
    return values_by_name


def _split(found, word, parameters):
    """Return the name and the value in a word; None where there is none."""
    if not word.startswith('-') or word == '-':
        return None, word
    flag, equals, value = word.partition('=')
    name = flag[2:].replace('-', '_')
    if not flag.startswith('--') or name not in parameters:
        known = ', '.join(f'--{_shown(n)}' for n in parameters) or 'none'
        raise _usage(found, f'no flag {flag}; its flags are {known}')
    return name, value if equals else None


def _checked(found, parameter, value):
    match parameter.default:
        case bool() if value not in ('True', 'False'):
            problem = f'--{_shown(parameter.name)} takes no value'
        case int() | float() if not _is_number(parameter.default, value):
            kind = type(parameter.default).__name__
            problem = f'{_shown(parameter.name)}: expected a positive {kind}'
        case _:
            return value
    raise _usage(found, f'{problem}, found {value!r}')


def _is_number(default, value):
    try:
        return type(default)(value) > 0
    except ValueError:
        return False


def _is_flag(parameter):
    return isinstance(parameter.default, bool)


def _shown(name):
    return name.replace('_', '-')


def _usage(found, problem):
    where = ' '.join(found.names)
    line = f'{where}: {problem}' if where else problem
    return errors.CommandError(errors.ExitCode.USAGE, line)


def help_text(found):
    """Return the help of a command or a group, as fire writes it."""
    origin = trace.FireTrace(found.command, name=found.title)
    text = helptext.HelpText(found.command, trace=origin)
    text = text.replace(f"'{found.title}'", found.title)
    text = _SHORT_FLAG.sub('    --', text)
    if isinstance(found.command, dict):
        return text
    for name, parameter in inspect.signature(found.command).parameters.items():
        if _is_flag(parameter):
            text = text.replace(f'--{name}={name.upper()}', f'--{name}')
    return text


def parsers(command):
    """Return how each parameter's text becomes its value."""
    return {
        name: _parser(parameter.default)
        for name, parameter in inspect.signature(command).parameters.items()
    }


def _parser(default):
    match default:
        case bool():
            return lambda text: text == 'True'
        case int() | float():
            return type(default)
    return str
