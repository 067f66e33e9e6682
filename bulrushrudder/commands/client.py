"""Speaks to the operators' interface of a control process."""

import asyncio
import dataclasses
import pathlib

import aiohttp

from bulrushrudder.commands import errors

TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What the control process answered."""

    status: int
    content: object


def call(method, control, secret_file, path, data=None, headers=None):
    """Call the operators' interface.

    :param control: host:port of any control process.
    :param secret_file: the file that holds the operators secret.
    :raises CommandError: where nobody answers or access is denied.
    """
    secret = _secret(secret_file)
    sent = {'Authorization': f'Bearer {secret}', **(headers or {})}
    try:
        reply = asyncio.run(
            _call(method, f'http://{control}{path}', sent, data)
        )
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        raise errors.CommandError(
            errors.ExitCode.UNREACHABLE, f'{control}: {error!r}'
        ) from error
    if reply.status == 401:
        raise errors.CommandError(
            errors.ExitCode.REFUSED, f'{control}: the secret is wrong'
        )
    return reply


def _secret(file):
    try:
        return pathlib.Path(str(file)).read_text().strip()
    except OSError as error:
        raise errors.CommandError(
            errors.ExitCode.INVALID_FILE, f'{file}: {error.strerror}'
        ) from error


async def _call(method, url, headers, data):
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.request(
            method, url, headers=headers, data=data
        ) as response:
            return Reply(response.status, await response.json())
