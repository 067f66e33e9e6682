"""Parse YAML into plain values, and find the line of each field.

Anchors, aliases and duplicate keys are errors. A large document takes
more than a second to parse, so the parser can yield to other tasks.
"""

import asyncio
import sys

from returns import result
import yaml

from bulrushrudder.config import errors

EVENTS_PER_STEP = 500
MAX_DEPTH = 16


class _ParseError(Exception):
    """The text is not in the supported subset of YAML."""

    def __init__(self, line, path, problem):
        super().__init__(line, path, problem)
        self.line = line
        self.path = path
        self.problem = problem


class _Mapping:
    """A mapping that is being parsed."""

    def __init__(self, path):
        self.path = path
        self.value = {}
        self._key = None
        self._key_line = 0

    def add(self, line, value):
        """Add a key, or the value of the last key."""
        if self._key is None:
            self._add_key(line, value)
            return
        self.value[self._key] = value
        self._key = None

    def next_path(self):
        """Return the path of the next value; None if a key is next."""
        return None if self._key is None else (*self.path, self._key)

    def line_of_next(self, line):
        """Return the line of the next value, which is that of its key."""
        return self._key_line

    def _add_key(self, line, key):
        path = (*self.path, str(key))
        if not isinstance(key, str):
            problem = f'expected text as a key, found {key!r}'
            raise _ParseError(line, path, problem)
        if key in self.value:
            raise _ParseError(line, path, 'duplicate key')
        self._key = sys.intern(key)
        self._key_line = line


class _Sequence:
    """A sequence that is being parsed."""

    def __init__(self, path):
        self.path = path
        self.value = []

    def add(self, line, value):
        """Append a value."""
        self.value.append(value)

    def next_path(self):
        """Return the path of the next value."""
        return (*self.path, len(self.value))

    def line_of_next(self, line):
        """Return the line of the next value."""
        return line


class _Root(_Sequence):
    """The YAML documents of a file."""

    def __init__(self):
        super().__init__(())

    def next_path(self):
        """Return the path of a whole document."""
        return ()


class _Parser:
    """Parses one text.

    :param line_by_path: is filled with the line of each field; None if
        lines are not needed.
    """

    def __init__(self, source, line_by_path=None):
        self._source = source
        self._line_by_path = line_by_path
        self._scalar_constructor = yaml.constructor.SafeConstructor()
        self._stack = [_Root()]

    def steps(self):
        """Yield after every EVENTS_PER_STEP events; return the value."""
        loader = yaml.CSafeLoader(self._source)
        try:
            count = 0
            while loader.check_event():
                self._handle(loader, loader.get_event())
                count += 1
                if count % EVENTS_PER_STEP == 0:
                    yield
        finally:
            loader.dispose()
        documents = self._stack[0].value
        if len(documents) > 1:
            raise _ParseError(0, (), 'expected one YAML document in the file')
        return documents[0] if documents else None

    def _handle(self, loader, event):
        line = event.start_mark.line + 1
        frame = self._stack[-1]
        if getattr(event, 'anchor', None) is not None:
            problem = 'anchors and aliases are not supported'
            raise _ParseError(line, frame.path, problem)
        match event:
            case yaml.MappingStartEvent():
                self._push(line, _Mapping)
            case yaml.SequenceStartEvent():
                self._push(line, _Sequence)
            case yaml.MappingEndEvent() | yaml.SequenceEndEvent():
                self._stack.pop()
                self._stack[-1].add(line, frame.value)
            case yaml.ScalarEvent():
                self._record_line(line, frame)
                frame.add(line, self._construct_scalar(loader, event, frame))

    def _push(self, line, kind):
        frame = self._stack[-1]
        self._record_line(line, frame)
        path = frame.next_path()
        if path is None:
            problem = 'expected text as a key'
            raise _ParseError(line, frame.path, problem)
        if len(self._stack) > MAX_DEPTH:
            raise _ParseError(
                line,
                frame.path,
                f'nested too deeply, at most {MAX_DEPTH} levels are allowed',
            )
        self._stack.append(kind(path))

    def _record_line(self, line, frame):
        path = frame.next_path()
        if self._line_by_path is not None and path is not None:
            self._line_by_path[path] = frame.line_of_next(line)

    def _construct_scalar(self, loader, event, frame):
        tag = event.tag
        if tag is None or tag == '!':
            tag = loader.resolve(yaml.ScalarNode, event.value, event.implicit)
        node = yaml.ScalarNode(
            tag, event.value, event.start_mark, event.end_mark, event.style
        )
        try:
            value = self._scalar_constructor.construct_object(node)
            # Otherwise the constructor keeps every node in memory.
            self._scalar_constructor.constructed_objects.clear()
            return value
        except (ValueError, OverflowError) as error:
            line = event.start_mark.line + 1
            path = frame.next_path()
            path = frame.path if path is None else path
            raise _ParseError(line, path, f'not YAML: {error}') from error


def parse(file, source):
    """Parse YAML into plain values.

    :param file: the file name to report in errors.
    :param source: the bytes of the file.
    :returns: a Result with the values or with a tuple of one FileError.
    """
    return _capture_errors(file, source, _finish, _Parser(source))


async def parse_async(file, source):
    """Parse as parse does, yielding to the event loop between steps."""
    steps = _Parser(source).steps()
    while True:
        progress = _capture_errors(file, source, _advance, steps)
        match progress:
            case result.Success(_Paused()):
                await asyncio.sleep(0)
            case _:
                return progress


def find_lines(source):
    """Return the line of each field, by its path, of valid YAML."""
    line_by_path = {}
    _finish(_Parser(source, line_by_path))
    return line_by_path


def format_path(path):
    """Return the path of a field as in routes[0].model."""
    text = ''
    for part in path:
        text += f'[{part}]' if isinstance(part, int) else f'.{part}'
    return text.lstrip('.')


class _Paused:
    """Marks that the parser has not reached the end."""


def _advance(steps):
    try:
        next(steps)
    except StopIteration as stop:
        return stop.value
    return _Paused()


def _finish(parser):
    steps = parser.steps()
    while True:
        value = _advance(steps)
        if not isinstance(value, _Paused):
            return value


def _capture_errors(file, source, function, argument):
    try:
        return result.Success(function(argument))
    except _ParseError as error:
        return _failure(
            file, error.line, format_path(error.path), error.problem
        )
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        last = source.rstrip().count(b'\n') + 1
        line = min(mark.line + 1, last) if mark else 0
        return _failure(file, line, '', f'not YAML: {error.problem}')
    except (yaml.YAMLError, UnicodeDecodeError, ValueError) as error:
        return _failure(file, 0, '', f'not YAML: {error}')


def _failure(file, line, field, problem):
    return result.Failure((errors.FileError(file, line, field, problem),))
