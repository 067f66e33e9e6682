"""A stand-in of the platform's clients, with kept connections."""

import asyncio
import dataclasses
import secrets
import socket

from lib import platform


@dataclasses.dataclass
class Answer:
    """What a client got.

    :ivar status: 0 if the connection ended without a head, or if no
        answer came in time.
    :ivar whole: whether the answer is complete.
    :ivar closed: whether the connection ended before the answer did.
    """

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    size: int = 0
    whole: bool = False
    closed: bool = False


class Client:
    """A client with one kept connection.

    :param address: address and port of the machine that it reaches.
    """

    def __init__(self, record, address):
        self._record = record
        self._address = address
        self._reader = None
        self._writer = None

    async def send(
        self, path, method='POST', deadline_ms=2500, keep=True, **headers
    ):
        """Send a request and read its answer.

        :param keep: whether to keep the body; else it is only read.
        :param headers: further headers, with _ for -.
        :returns: the attempt id and the Answer.
        """
        attempt = secrets.token_hex(8)
        answer = Answer()
        body = b'x' * 100 if method == 'POST' else b''
        pairs = {
            'Host': platform.HOST,
            'Attempt-Id': attempt,
            'Deadline-Ms': deadline_ms,
            'Authorization': f'Bearer {platform.KEY}',
            'Content-Length': len(body),
            **{n.replace('_', '-'): v for n, v in headers.items()},
        }
        text = ''.join(f'{n}: {v}\r\n' for n, v in pairs.items())
        self._record.write(f'client: sends {attempt} to {path}')
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    await self._open()
                request = f'{method} {path} HTTP/1.1\r\n{text}\r\n'
                self._writer.write(request.encode() + body)
                await self._read(answer, keep)
        except TimeoutError:
            # No whole answer before the deadline; the client leaves.
            pass
        except (OSError, asyncio.IncompleteReadError):
            answer.closed = True
        if not answer.whole or answer.headers.get('connection') == 'close':
            self.close()
        self._record.write(
            f'client: {attempt} got {answer.status or "no answer"}, '
            f'{answer.size} bytes, '
            f'{"whole" if answer.whole else "not whole"}'
            f'{", connection closed" if answer.closed else ""}'
        )
        return attempt, answer

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _open(self):
        opened = socket.socket()
        opened.setblocking(False)
        # Segments as on a network, so that the kernel acknowledges data
        # without the delay that large loopback segments bring.
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        async with asyncio.timeout(1.0):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(opened, self._address)
        self._reader, self._writer = await asyncio.open_connection(
            sock=opened
        )

    async def _read(self, answer, keep):
        reader = self._reader
        text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        status_line, *lines = text.split('\r\n')[:-2]
        for line in lines:
            name, _, value = line.partition(':')
            answer.headers[name.strip().lower()] = value.strip()
        answer.status = int(status_line.split()[1])
        if answer.headers.get('transfer-encoding') == 'chunked':
            while size := int(await reader.readuntil(b'\r\n'), 16):
                data = await reader.readexactly(size)
                answer.size += size
                answer.body += data if keep else b''
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(answer.headers.get('content-length', 0))
            answer.body = await reader.readexactly(length)
            answer.size = length
        answer.whole = True
