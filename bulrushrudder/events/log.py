"""Structured logging of numbered events."""

import datetime
import json
import sys

import logbook

from bulrushrudder.events import catalogue
from bulrushrudder.events import output

# Longer texts are cut: callers choose ids of requests and what invalid
# input looks like.
MAX_TEXT_LENGTH = 512
_LOGGER = logbook.Logger('bulrushrudder')


def emit(event, **fields):
    """Log an event of the catalogue.

    :param event: an Event of the catalogue.
    :param fields: details of this occurrence; must not contain secrets.
    """
    level = logbook.lookup_level(event.level.value)
    cut = {name: _cut(value) for name, value in fields.items()}
    _LOGGER.log(level, event.name, extra={'event': event, 'fields': cut})


def _cut(value):
    if isinstance(value, str) and len(value) > MAX_TEXT_LENGTH:
        return f'{value[:MAX_TEXT_LENGTH]}... ({len(value)} characters)'
    return value


def json_handler(stream=None, level='INFO'):
    """Return a handler that writes one JSON object per line."""
    return _handler(stream, level, _format_json)


def bounded_handler(descriptor, log_format, level='INFO'):
    """Return a handler that never blocks on a slow reader.

    :param descriptor: file descriptor to write to.
    :param log_format: json or human.
    """
    formatter = _format_json if log_format == 'json' else _format_text
    return _NonBlockingHandler(descriptor, formatter, level)


class _NonBlockingHandler(logbook.Handler):
    """Writes lines through a LineWriter."""

    def __init__(self, descriptor, formatter, level):
        super().__init__(level)
        self.formatter = formatter
        self._writer = output.LineWriter(descriptor, _format_dropped)

    def emit(self, record):
        """Format a record and write its line."""
        urgent = record.level >= logbook.WARNING
        self._writer.write(
            self.format(record), urgent, record.extra['event'].number
        )


def _format_dropped(count):
    event = catalogue.LINES_DROPPED
    return json.dumps(
        {
            'time': datetime.datetime.now(datetime.UTC).isoformat(),
            'level': event.level.value,
            'event': event.number,
            'name': event.name,
            'count': count,
        }
    )


def human_handler(stream=None, level='INFO'):
    """Return a handler that writes human-readable lines."""
    return _handler(stream, level, _format_text)


def _handler(stream, level, formatter):
    handler = logbook.StreamHandler(stream or sys.stderr, level=level)
    handler.formatter = formatter
    return handler


def _format_time(record):
    return record.time.replace(tzinfo=datetime.UTC).isoformat()


def _format_json(record, handler):
    event = record.extra['event']
    content = {
        'time': _format_time(record),
        'level': event.level.value,
        'event': event.number,
        'name': event.name,
        **record.extra['fields'],
    }
    return json.dumps(content, default=str)


def _format_text(record, handler):
    event = record.extra['event']
    pairs = [f'{k}={v}' for k, v in record.extra['fields'].items()]
    head = f'{_format_time(record)} {event.level.value} {event.number}'
    return ' '.join([head, event.name, *pairs])
