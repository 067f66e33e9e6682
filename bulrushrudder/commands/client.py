"""A client of the operators' interface of a control process."""

import asyncio
import dataclasses
import json
import pathlib

import aiohttp

from bulrushrudder.commands import errors
from bulrushrudder.engines import framing

REQUEST_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The HTTP response of a control process."""

    status: int
    body: bytes

    @property
    def content(self):
        """Return the body, decoded from JSON."""
        return json.loads(self.body)


class InvalidReplyError(Exception):
    """Nothing says that what was received is a whole HTTP response."""


class Client:
    """Calls the operators' interface of one control process.

    :param control: host:port of any control process.
    :param secret_file: the file with the operators secret.
    :raises CommandError: if the file cannot be read.
    """

    def __init__(self, control, secret_file):
        self._control = _check_address(control)
        self._secret = _read_secret(secret_file)

    def call(self, method, path, data=None, operator=None):
        """Send a request to the operators' interface.

        :returns: the Reply to a request that succeeded.
        :raises CommandError: if there is no response, access is
            denied or the request is refused.
        """
        headers = {'Authorization': f'Bearer {self._secret}'}
        if operator is not None:
            headers['X-Operator'] = operator
        try:
            reply = asyncio.run(_call(method, self._url(path), headers, data))
        except (
            InvalidReplyError,
            aiohttp.ClientError,
            OSError,
            TimeoutError,
        ) as error:
            detail = str(error) or type(error).__name__
            raise errors.CommandError(
                errors.ExitCode.UNREACHABLE,
                f'{self._control}: no response: {detail}',
            ) from error
        self._check(reply)
        return reply

    def _url(self, path):
        return f'http://{self._control}{path}'

    def _check(self, reply):
        if reply.status < 400:
            return
        lines = _extract_problems(reply)
        code = errors.ExitCode.REFUSED
        if reply.status == 503:
            code = errors.ExitCode.UNREACHABLE
        raise errors.CommandError(
            code, *(f'{self._control}: {line}' for line in lines)
        )


def _extract_problems(reply):
    """Return the problems that the body of an error response lists."""
    try:
        content = reply.content
    except ValueError:
        content = None
    match content:
        case {'problems': [*problems]}:
            return [str(problem) for problem in problems]
        case {'problem': problem, 'winner': winner} if winner:
            return [f'{problem}; the accepted version was sent by {winner}']
        case {'problem': problem}:
            return [str(problem)]
    return [f'HTTP status {reply.status}']


def _check_address(control):
    host, colon, port = control.rpartition(':')
    if not colon or not host or not port.isdecimal():
        raise errors.CommandError(
            errors.ExitCode.USAGE,
            f'control: expected host:port, found {control!r}',
        )
    return control


def _read_secret(file):
    try:
        secret = pathlib.Path(file).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        detail = getattr(error, 'strerror', None) or 'not text'
        raise errors.CommandError(
            errors.ExitCode.INVALID_FILE, f'{file}: cannot be read: {detail}'
        ) from error
    if not secret.isprintable():
        raise errors.CommandError(
            errors.ExitCode.INVALID_FILE,
            f'{file}: has more than one line, expected a secret on one line',
        )
    return secret


async def _call(method, url, headers, data):
    timeout = aiohttp.ClientTimeout(
        total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
    )
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.request(
            method, url, headers=headers, data=data
        ) as response:
            _check_framing(response)
            return Reply(response.status, await response.read())


def _check_framing(response):
    """Check what aiohttp does not.

    It takes the reset of a connection for the end of a body without a
    length, and all from 000 to 999 for statuses. Control processes state a
    length, or send chunks.

    :raises InvalidReplyError: if a response cannot be taken for whole.
    """
    if not framing.is_final(response.status):
        raise InvalidReplyError(f'invalid status {response.status:03d}')
    names = ('Content-Length', 'Transfer-Encoding')
    if not any(name in response.headers for name in names):
        raise InvalidReplyError('its length is not stated')
