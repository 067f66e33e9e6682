"""Engines that reply to each order with scripted steps."""

import asyncio
import json
import socket
import struct

from bulrushrudder.tests.builders import fleet

RESPONSE_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def chunk(data):
    """Return data as one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def token_chunk(attempt, index, text='x', **fields):
    """Return one event of a decode stream as a chunk."""
    content = {'attempt': attempt, 'index': index, 'text': text, **fields}
    return chunk(b'data: ' + json.dumps(content).encode() + b'\n\n')


def end(attempt, tokens):
    """Return the last event of a stream and the end of the body."""
    return token_chunk(attempt, tokens, finish_reason='stop') + chunk(b'')


async def pause(writer, seconds):
    """Send nothing for some seconds."""
    await asyncio.sleep(seconds)


async def reset(writer):
    """Reset the connection."""
    linger = struct.pack('ii', 1, 0)
    connection = writer.get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def half_close(writer):
    """Close the sending side only, and stay connected for 5 s."""
    writer.write_eof()
    await asyncio.sleep(5)


class ScriptedEngine:
    """Replies to every order with the same steps.

    :param steps: each is bytes to send, or a coroutine function that
        takes the writer.
    """

    def __init__(self, *steps):
        self._steps = steps
        self.orders = 0

    async def start(self, stack):
        """Listen on the loopback interface until the exit stack closes.

        :returns: the BackendServer.
        """
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        return fleet.server('raw', port=port)

    async def _serve(self, reader, writer):
        self.orders += 1
        try:
            await reader.readuntil(b'\r\n\r\n')
            for step in self._steps:
                if isinstance(step, bytes):
                    writer.write(step)
                    await writer.drain()
                else:
                    await step(writer)
        except OSError:
            return
        finally:
            writer.close()
