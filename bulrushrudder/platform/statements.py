"""Reads what the platform's runners state about themselves in answers."""

import math
import re

from bulrushrudder.backpressure import statements

LIMIT = 'server-limit'
LEAVING = 'server-leaving'
RETRY_AFTER = 'retry-after'
MAX_REQUESTS_PER_S = 1e6
MAX_PAUSE_S = 60.0
_SHOWN_CHARACTERS = 40
_DECIMAL = re.compile(r'[0-9]{1,12}(\.[0-9]{1,12})?')


def read(head):
    """Return the Statements in the head of an answer.

    Several values of a header count as the strictest of them. A pause of
    more than MAX_PAUSE_S is cut to it.

    :param head: the Head.
    """
    stated = [*_read_limit(head), *_read_leaving(head)]
    if head.status == 503:
        stated += _read_pause(head)
    return tuple(stated)


def _read_limit(head):
    values = head.values(LIMIT)
    if not values:
        return [statements.RateLimit(None)]
    numbers = [_number(value) for value in values]
    valid = [
        number
        for number in numbers
        if number is not None and number <= MAX_REQUESTS_PER_S
    ]
    stated = [statements.RateLimit(min(valid))] if valid else []
    if len(valid) < len(values):
        stated.append(_invalid(LIMIT, values, 'requests per second'))
    return stated


def _read_leaving(head):
    values = head.values(LEAVING)
    if '1' in values:
        return [statements.Leaving()]
    if any(value != '0' for value in values):
        return [_invalid(LEAVING, values, '0 or 1')]
    return []


def _read_pause(head):
    values = head.values(RETRY_AFTER)
    numbers = [_number(value) for value in values]
    valid = [number for number in numbers if number is not None]
    stated = []
    if valid and max(valid) > 0:
        stated.append(statements.Pause(min(max(valid), MAX_PAUSE_S)))
    if len(valid) < len(values):
        stated.append(_invalid(RETRY_AFTER, values, 'seconds'))
    return stated


def _number(value):
    if not _DECIMAL.fullmatch(value):
        return None
    number = float(value)
    return number if math.isfinite(number) else None


def _invalid(name, values, expected):
    shown = ', '.join(values)[:_SHOWN_CHARACTERS]
    return statements.Invalid(f'{name}: {shown!r}, expected {expected}')
