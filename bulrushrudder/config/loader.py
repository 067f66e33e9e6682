"""YAML files, checked against a model, with errors that name lines."""

import dataclasses
import pathlib

import pydantic
from returns import result
import yaml

from bulrushrudder.config import errors


@dataclasses.dataclass(frozen=True, slots=True)
class _Parsed:
    """A YAML file as plain values, with the line of each field."""

    value: object
    line_by_path: dict[tuple, int]


class _DuplicateKeyError(Exception):
    """A mapping names a key twice."""

    def __init__(self, line, path):
        super().__init__(line, path)
        self.line = line
        self.path = path


def read_bytes(file):
    """Return the bytes of a file.

    :returns: the bytes, or a tuple with one FileError.
    """
    try:
        return result.Success(pathlib.Path(file).read_bytes())
    except OSError as error:
        problem = f'cannot be read: {error.strerror}'
        return result.Failure((errors.FileError(str(file), 0, '', problem),))


def load(file, source, model):
    """Check a YAML text against a pydantic model.

    :param file: the name that errors carry.
    :param source: the bytes of the file.
    :param model: the pydantic model of the whole file.
    :returns: the model's instance, or a tuple of FileError.
    """
    parsed = _parse(str(file), source)
    return parsed.bind(lambda found: _check(str(file), found, model))


def _parse(file, source):
    try:
        node = yaml.compose(source, yaml.SafeLoader)
        line_by_path = {}
        value = _construct(node, (), line_by_path)
    except _DuplicateKeyError as error:
        return _failure(
            file, error.line, _dotted(error.path), 'the key stands twice'
        )
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 0
        return _failure(file, line, '', f'not YAML: {error.problem}')
    except (yaml.YAMLError, UnicodeDecodeError, ValueError) as error:
        return _failure(file, 0, '', f'not YAML: {error}')
    return result.Success(_Parsed(value, line_by_path))


def _failure(file, line, field, problem):
    return result.Failure((errors.FileError(file, line, field, problem),))


def _construct(node, path, line_by_path):
    """Build plain values from nodes and note the line of each path."""
    if node is None:
        return None
    line_by_path[path] = node.start_mark.line + 1
    match node:
        case yaml.MappingNode():
            return _construct_mapping(node, path, line_by_path)
        case yaml.SequenceNode():
            return [
                _construct(child, (*path, number), line_by_path)
                for number, child in enumerate(node.value)
            ]
    constructor = yaml.constructor.SafeConstructor()
    return constructor.construct_object(node)


def _construct_mapping(node, path, line_by_path):
    found = {}
    for key_node, value_node in node.value:
        key = key_node.value
        if not isinstance(key, str) or key in found:
            line = key_node.start_mark.line + 1
            raise _DuplicateKeyError(line, (*path, str(key)))
        found[key] = _construct(value_node, (*path, key), line_by_path)
        line_by_path[(*path, key)] = key_node.start_mark.line + 1
    return found


def _check(file, parsed, model):
    try:
        return result.Success(model.model_validate(parsed.value, strict=True))
    except pydantic.ValidationError as error:
        found = error.errors(include_url=False)
    return result.Failure(
        tuple(_file_error(file, parsed, problem) for problem in found)
    )


def _file_error(file, parsed, problem):
    path = problem['loc']
    known = path
    while known and known not in parsed.line_by_path:
        known = known[:-1]
    line = parsed.line_by_path.get(known, 0)
    return errors.FileError(file, line, _dotted(path), _sentence(problem))


def _sentence(problem):
    match problem['type']:
        case 'extra_forbidden':
            return 'unknown field'
        case 'missing':
            return 'required field is missing'
        case 'string_type':
            found = problem['input']
            return f'expected text, found {found!r}; put it in quotes'
    return f'{problem["msg"]}, found {problem["input"]!r}'


def _dotted(path):
    text = ''
    for part in path:
        text += f'[{part}]' if isinstance(part, int) else f'.{part}'
    return text.lstrip('.')
