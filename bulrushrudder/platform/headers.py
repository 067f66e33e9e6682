"""Headers of the platform's calls, decoded once.

``Attempt-Id`` names one try of a client; each try has another. It is
the id under which logs show a request.
"""

import dataclasses
import re

from returns import result

from bulrushrudder.core import outcomes

ATTEMPT = 'Attempt-Id'
DEADLINE = 'Deadline-Ms'
EXPECTED_INSTANCE = 'Expect-Instance'
ACCOUNT = 'Tenant'
STAGE = 'Stage'
CACHE_SOURCE = 'Kv-Source'
NOT_RUN = 'not-executed'
LAST_EVENT = 'Last-Event-Id'
_TOKEN_USAGE = 'token-usage'
_LENGTH_HINT = 'length-hint'

_MS_PER_SECOND = 1000.0
_DIGITS = re.compile(r'[0-9]{1,9}')

# Headers of one connection, and those that only the system sets.
_NOT_FORWARDED = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
        'authorization',
        'deadline-ms',
        'expect-instance',
        'expect-version',
        'tenant',
        'stage',
        'kv-source',
        'kv-hold',
        'kv-backup',
        'kv-fetch',
        'pin-ms',
        'request-urgency',
    }
)
_NOT_RETURNED = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHeaders:
    """What a client's headers say.

    :param attempt: the id of this try.
    :param wait_s: seconds that the client waits; None where it does not
        say.
    :param prompt_tokens: tokens of the prompt.
    :param output_tokens: the bound on tokens of the answer.
    :param expected_tokens: the client's guess at the tokens of the
        answer, 0 where it makes none.
    :param names_tokens: whether the client named tokens at all.
    """

    attempt: str
    timeout_s: float | None
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    has_token_usage: bool


def read(headers):
    """Read a client's headers.

    :param headers: pairs of name and value.
    :returns: the Asked, or a Refusal.
    """
    by_name = {}
    for name, value in headers:
        by_name.setdefault(name.lower(), value.strip())
    attempt = by_name.get(ATTEMPT.lower(), '')
    if not attempt:
        return _malformed(f'{ATTEMPT} is missing')
    wait = by_name.get(DEADLINE.lower())
    if wait is not None and not _DIGITS.fullmatch(wait.partition('.')[0]):
        return _malformed(f'{DEADLINE} is no number')
    usage = by_name.get(_TOKEN_USAGE)
    tokens = _parse_token_usage(usage)
    if tokens is None:
        return _malformed('Token-Usage is not two numbers')
    return result.Success(
        RequestHeaders(
            attempt=attempt,
            timeout_s=None if wait is None else float(wait) / _MS_PER_SECOND,
            prompt_tokens=tokens[0],
            output_tokens=tokens[1],
            expected_tokens=_parse_number(by_name.get(_LENGTH_HINT, '')),
            has_token_usage=usage is not None,
        )
    )


def forwarded_headers(headers):
    """Return the headers that go on to a runner.

    :param headers: pairs of name and value.
    """
    removed_names = _NOT_FORWARDED | _named_by_connection(headers)
    return tuple((n, v) for n, v in headers if n.lower() not in removed_names)


def returned_headers(headers):
    """Return the headers of a runner that go back to the client."""
    removed_names = _NOT_RETURNED | _named_by_connection(headers)
    return [(n, v) for n, v in headers if n.lower() not in removed_names]


def call(method, target, headers, body):
    """Return the bytes of a call to a runner."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    text = '\r\n'.join(lines) + '\r\n\r\n'
    return text.encode('utf-8', 'surrogateescape') + body


def milliseconds(seconds):
    """Return seconds as whole milliseconds, at least one."""
    return str(max(1, int(seconds * _MS_PER_SECOND)))


def _named_by_connection(headers):
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for token in value.split(',')
    }


def _parse_token_usage(usage):
    if usage is None:
        return 0, 0
    prompt, _, output = usage.partition(',')
    prompt, output = prompt.strip(), output.strip()
    if not _DIGITS.fullmatch(prompt) or not _DIGITS.fullmatch(output):
        return None
    return int(prompt), int(output)


def _parse_number(text):
    return int(text) if _DIGITS.fullmatch(text) else 0


def _malformed(detail):
    return result.Failure(
        outcomes.not_run(outcomes.Reason.MALFORMED_REQUEST, detail)
    )
