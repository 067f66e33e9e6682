"""Headers of the platform's calls.

``Attempt-Id`` identifies one attempt of a client; each retry has a new
one. Logs show it as the id of the request.
"""

import dataclasses
import re

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.core import units

ATTEMPT = 'Attempt-Id'
DEADLINE = 'Deadline-Ms'
EXPECTED_INSTANCE = 'Expect-Instance'
ACCOUNT = 'Tenant'
STAGE = 'Stage'
CACHE_SOURCE = 'Kv-Source'
NOT_RUN = 'not-executed'
LAST_EVENT = 'Last-Event-Id'
RESUMED = 'Resumes'
_TOKEN_USAGE = 'token-usage'
_LENGTH_HINT = 'length-hint'
_PROMPT_PARTS = 'prompt-prefix'
# Further parts of a prompt, and parts with longer ids, are ignored.
MAX_PROMPT_PARTS = 64
MAX_PART_ID_LENGTH = 64

_DIGITS = re.compile(r'[0-9]{1,9}')

# Hop-by-hop headers, and headers that only the router may set.
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
    """The values of a client's headers.

    :param attempt: id of this attempt.
    :param timeout_s: seconds that the client waits; None if not stated.
    :param prompt_tokens: tokens of the prompt.
    :param output_tokens: maximum number of output tokens.
    :param expected_tokens: the client's estimate of the output tokens; 0
        if it gives none.
    :param has_token_usage: whether the client stated its tokens.
    :param shared_parts: ids of the parts of the prompt that other requests
        may share, in order: all but the last one.
    :param last_event: id of the last event that the client has; empty for
        a request that takes no stream up again.
    :param resumed: id of the attempt that brought the first event of the
        stream that the client takes up again; empty if not stated.
    """

    attempt: str
    timeout_s: float | None
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    has_token_usage: bool
    shared_parts: tuple[str, ...] = ()
    last_event: str = ''
    resumed: str = ''


def read(headers):
    """Parse a client's headers.

    :param headers: pairs of name and value.
    :returns: the RequestHeaders, or a Refusal.
    """
    by_name = {}
    for name, value in headers:
        by_name.setdefault(name.lower(), value.strip())
    attempt = by_name.get(ATTEMPT.lower(), '')
    if not attempt:
        return _malformed(f'{ATTEMPT} is missing')
    deadline_ms = by_name.get(DEADLINE.lower())
    if deadline_ms is not None and not _DIGITS.fullmatch(
        deadline_ms.partition('.')[0]
    ):
        return _malformed(f'{DEADLINE}: expected a number of milliseconds')
    usage = by_name.get(_TOKEN_USAGE)
    tokens = _parse_token_usage(usage)
    if tokens is None:
        return _malformed('Token-Usage: expected two numbers, PROMPT,OUTPUT')
    return result.Success(
        RequestHeaders(
            attempt=attempt,
            timeout_s=None
            if deadline_ms is None
            else float(deadline_ms) / units.MS_PER_SECOND,
            prompt_tokens=tokens[0],
            output_tokens=tokens[1],
            expected_tokens=_parse_number(by_name.get(_LENGTH_HINT, '')),
            has_token_usage=usage is not None,
            shared_parts=_parse_shared_parts(by_name.get(_PROMPT_PARTS, '')),
            last_event=by_name.get(LAST_EVENT.lower(), ''),
            resumed=by_name.get(RESUMED.lower(), ''),
        )
    )


def forwarded_headers(headers):
    """Return the headers of a client that are forwarded to a runner.

    :param headers: pairs of name and value.
    """
    removed_names = _NOT_FORWARDED | _named_by_connection(headers)
    return tuple((n, v) for n, v in headers if n.lower() not in removed_names)


def returned_headers(headers):
    """Return the headers of a runner that are returned to the client."""
    removed_names = _NOT_RETURNED | _named_by_connection(headers)
    return [(n, v) for n, v in headers if n.lower() not in removed_names]


def encode_request(method, target, headers, body):
    """Return a request to a runner as bytes.

    :param target: path and query.
    :param headers: pairs of name and value.
    """
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    text = '\r\n'.join(lines) + '\r\n\r\n'
    return text.encode('utf-8', 'surrogateescape') + body


def format_milliseconds(seconds):
    """Return seconds as text in whole milliseconds, at least 1."""
    return str(max(1, int(seconds * units.MS_PER_SECOND)))


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


def _parse_shared_parts(text):
    """Return the ids of all parts of a prompt but the last one.

    :param text: entries ID:TOKENS, separated by commas.
    """
    part_ids = [
        entry.partition(':')[0].strip().lower()
        for entry in text.split(',')[:-1][:MAX_PROMPT_PARTS]
    ]
    return tuple(
        dict.fromkeys(
            part_id
            for part_id in part_ids
            if 0 < len(part_id) <= MAX_PART_ID_LENGTH
        )
    )


def _parse_number(text):
    return int(text) if _DIGITS.fullmatch(text) else 0


def _malformed(detail):
    return result.Failure(
        outcomes.not_run(outcomes.Reason.MALFORMED_REQUEST, detail)
    )
