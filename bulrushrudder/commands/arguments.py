"""Validate the arguments of a command before fire calls it.

On its own, fire reports unused arguments only after it has called the
function, converts text that looks like a number or a list, and exposes
every public attribute as a command. The checks here normalise arguments
to --name=value, which fire takes literally.
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
class ResolvedCommand:
    """The command that the arguments name.

    :param command: a function, or a dict of commands for a group.
    :param names: the arguments that name it.
    :param rest: the arguments that follow.
    """

    command: object
    names: tuple[str, ...]
    rest: tuple[str, ...]

    @property
    def title(self):
        """Return the full name of the command."""
        return ' '.join(('bulrushrudder', *self.names))


def resolve(commands, args):
    """Return the command that the arguments name.

    :param commands: functions and groups by name.
    :raises CommandError: if there is no such command.
    """
    resolved = ResolvedCommand(commands, (), tuple(args))
    while isinstance(resolved.command, dict) and resolved.rest:
        name, *rest = resolved.rest
        if name in HELP_FLAGS:
            return resolved
        if name not in resolved.command:
            known = ', '.join(resolved.command)
            raise _usage_error(
                resolved, f'unknown command {name!r}, expected one of: {known}'
            )
        resolved = ResolvedCommand(
            resolved.command[name], (*resolved.names, name), tuple(rest)
        )
    return resolved


def normalise(resolved):
    """Return the arguments of a command in the form --name=value.

    :raises CommandError: if an argument does not fit the command.
    """
    parameters = inspect.signature(resolved.command).parameters
    values_by_name = _parse(resolved, parameters)
    missing = [
        name
        for name, parameter in parameters.items()
        if parameter.default is parameter.empty and name not in values_by_name
    ]
    if missing:
        raise _usage_error(
            resolved, f'required argument {missing[0]} is missing'
        )
    return [
        f'--{name}={_check_value(resolved, parameters[name], value)}'
        for name, value in values_by_name.items()
    ]


def _parse(resolved, parameters):
    values_by_name = {}
    positional = [n for n, p in parameters.items() if not _is_flag(p)]
    args = list(resolved.rest)
    while args:
        arg = args.pop(0)
        name, value = _split_flag(resolved, arg, parameters)
        if name is None:
            unfilled = [n for n in positional if n not in values_by_name]
            if not unfilled:
                raise _usage_error(resolved, f'unexpected argument {arg!r}')
            name = unfilled[0]
        elif value is None and _is_flag(parameters[name]):
            value = 'True'
        elif value is None:
            value = args.pop(0) if args else None
        if value is None:
            raise _usage_error(resolved, f'--{_flag_name(name)} needs a value')
        if name in values_by_name:
            raise _usage_error(
                resolved, f'{_flag_name(name)} is given more than once'
            )
        values_by_name[name] = value
    return values_by_name


def _split_flag(resolved, arg, parameters):
    """Return the name and the value in an argument, None if absent."""
    if not arg.startswith('-') or arg == '-':
        return None, arg
    flag, equals, value = arg.partition('=')
    name = flag[2:].replace('-', '_')
    if not flag.startswith('--') or name not in parameters:
        known = ', '.join(f'--{_flag_name(n)}' for n in parameters) or 'none'
        raise _usage_error(
            resolved, f'unknown flag {flag}, known flags: {known}'
        )
    return name, value if equals else None


def _check_value(resolved, parameter, value):
    match parameter.default:
        case bool() if value not in ('True', 'False'):
            problem = f'--{_flag_name(parameter.name)} takes no value'
        case int() | float() if not _is_number(parameter.default, value):
            kind = type(parameter.default).__name__
            problem = (
                f'{_flag_name(parameter.name)}: expected a positive {kind}'
            )
        case _:
            return value
    raise _usage_error(resolved, f'{problem}, found {value!r}')


def _is_number(default, value):
    try:
        return type(default)(value) > 0
    except ValueError:
        return False


def _is_flag(parameter):
    return isinstance(parameter.default, bool)


def _flag_name(name):
    return name.replace('_', '-')


def _usage_error(resolved, problem):
    where = ' '.join(resolved.names)
    line = f'{where}: {problem}' if where else problem
    return errors.CommandError(errors.ExitCode.USAGE, line)


def help_text(resolved):
    """Return the help text that fire generates for a command or a group."""
    origin = trace.FireTrace(resolved.command, name=resolved.title)
    text = helptext.HelpText(resolved.command, trace=origin)
    text = text.replace(f"'{resolved.title}'", resolved.title)
    text = _SHORT_FLAG.sub('    --', text)
    if isinstance(resolved.command, dict):
        return text
    for name, parameter in inspect.signature(
        resolved.command
    ).parameters.items():
        if _is_flag(parameter):
            text = text.replace(f'--{name}={name.upper()}', f'--{name}')
    return text


def value_parsers(command):
    """Return the function that converts each parameter's text, by name."""
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
