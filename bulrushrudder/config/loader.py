"""Load YAML files into validated models; errors carry line numbers."""

import pathlib

import pydantic
from returns import result

from bulrushrudder.config import errors
from bulrushrudder.config import yaml_parser

MAX_ERRORS = 20
MAX_VALUE_CHARS = 60


def read_bytes(file):
    """Read a file.

    :returns: a Result with the bytes or with a tuple of one FileError.
    """
    try:
        return result.Success(pathlib.Path(file).read_bytes())
    except OSError as error:
        problem = f'cannot be read: {error.strerror}'
        return result.Failure((errors.FileError(str(file), 0, '', problem),))


def load(file, source, model):
    """Validate YAML against a pydantic model.

    :param file: the file name to report in errors.
    :param source: the bytes of the file.
    :param model: the pydantic model of the whole file.
    :returns: a Result with an instance of the model or with a tuple of
        FileError.
    """
    parsed = yaml_parser.parse(str(file), source)
    return parsed.bind(lambda value: _check(str(file), source, value, model))


async def load_async(file, source, model):
    """Validate YAML as load does, yielding to the event loop."""
    parsed = await yaml_parser.parse_async(str(file), source)
    return parsed.bind(lambda value: _check(str(file), source, value, model))


def _check(file, source, value, model):
    try:
        return result.Success(model.model_validate(value, strict=True))
    except pydantic.ValidationError as error:
        validation_errors = error.errors(include_url=False)[:MAX_ERRORS]
    line_by_path = yaml_parser.find_lines(source)
    return result.Failure(
        tuple(
            _file_error(file, line_by_path, problem)
            for problem in validation_errors
        )
    )


def _file_error(file, line_by_path, problem):
    path = problem['loc']
    known = path
    while known and known not in line_by_path:
        known = known[:-1]
    line = line_by_path.get(known, 0)
    return errors.FileError(
        file, line, yaml_parser.format_path(path), _describe(problem)
    )


def _describe(problem):
    match problem['type']:
        case 'extra_forbidden':
            return 'unknown field'
        case 'missing':
            return 'required field is missing'
        case 'string_type':
            value = _format_value(problem['input'])
            return f'expected text, found {value}; put it in quotes'
    return f'{problem["msg"]}, found {_format_value(problem["input"])}'


def _format_value(value):
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARS:
        return text
    return f'{text[:MAX_VALUE_CHARS]}...'
