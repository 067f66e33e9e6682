"""Messages of HTTP/1.1 on plain streams."""

import asyncio
import dataclasses

CONNECT_TIMEOUT_S = 1.0
# A body with a length is read in pieces of so many bytes.
PIECE = 65536


@dataclasses.dataclass
class Answer:
    """What a caller got.

    :ivar status: 0 without a head.
    :ivar whole: whether the answer is complete.
    """

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as it arrived.

    :ivar connection: number of the connection at this server.
    :ivar reader: what the connection sends behind the request.
    """

    method: str
    target: str
    headers: dict
    connection: int
    reader: asyncio.StreamReader

    @property
    def attempt(self):
        return self.headers.get('attempt-id', '')


def head(start, pairs):
    """Return the head of a request or an answer as bytes."""
    lines = [start, *(f'{name}: {value}' for name, value in pairs)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def chunk(data):
    """Return data as a chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


async def read_head(reader):
    """Return the start line and the headers by lowercase name."""
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    start, *lines = text.split('\r\n')[:-2]
    pairs = (line.partition(':') for line in lines)
    return start, {n.strip().lower(): v.strip() for n, _, v in pairs}


async def read_body(reader, headers, for_s=0.0):
    """Yield the pieces of a body.

    :param for_s: seconds that a reader takes for a large body.
    """
    if headers.get('transfer-encoding') == 'chunked':
        while size := int(await reader.readuntil(b'\r\n'), 16):
            yield await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return
    left = length = int(headers.get('content-length', 0))
    while left:
        piece = await reader.readexactly(min(left, PIECE))
        left -= len(piece)
        yield piece
        if for_s:
            await asyncio.sleep(for_s * len(piece) / max(length, 2**18))


async def read_answer(reader, answer, for_s=0.0):
    """Read an answer; what has arrived stays if it is cut off.

    :param for_s: seconds that a reader takes for a large body.
    """
    start, answer.headers = await read_head(reader)
    answer.status = int(start.split()[1])
    body = bytearray()
    try:
        async for piece in read_body(reader, answer.headers, for_s):
            body += piece
    finally:
        answer.body = bytes(body)
    answer.whole = True


async def call(address, method, path, body=b'', timeout_s=1.0):
    """Make a call on a new connection.

    :returns: the Answer; its status is 0 without an answer in time.
    """
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            pairs = [
                ('Host', address[0]),
                ('Content-Type', 'application/json'),
                ('Content-Length', len(body)),
                ('Connection', 'close'),
            ]
            writer.write(head(f'{method} {path} HTTP/1.1', pairs) + body)
            await read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return answer if answer.whole else Answer()
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer
