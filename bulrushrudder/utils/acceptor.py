"""Accepts connections as far as there is room for them.

Connections that there is no room for wait in the kernel's backlog.
"""

import asyncio
import dataclasses
import errno
import socket
import typing

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.utils import tasks

# Errors of accept() that last until descriptors or memory are freed.
EXHAUSTED_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
ACCEPT_RETRY_DELAY_S = 1.0
# Between two looks whether there is room for connections again.
ACCEPT_PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Buffers:
    """Sizes of the kernel's buffers of a listening socket.

    :param receive_bytes: size of the receive buffer of a connection, before
        the kernel doubles it.
    :param send_bytes: the same of its send buffer; None for the kernel's
        own choice.
    :param backlog: connections that may wait to be accepted.
    """

    receive_bytes: int
    send_bytes: int | None
    backlog: int


class Admission(typing.Protocol):
    """Decides for how many connections there is room."""

    def admits_connection(self, accepting):
        """Return whether a connection may be accepted now.

        :param accepting: number of accepted ones that are not counted yet.
        """

    def make_room_for_connection(self):
        """Close connections so that one that waits may be accepted."""


class Acceptor:
    """Listens on the addresses of a name.

    :param buffers: the Buffers.
    :param admission: the Admission.
    :param make_protocol: function that returns the asyncio protocol of a
        connection.
    """

    def __init__(self, buffers, admission, make_protocol):
        self._buffers = buffers
        self._admission = admission
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._sockets = []
        self._timers_by_paused = {}
        self._accepting = set()

    def open(self, address):
        """Begin to listen.

        :param address: a config Address; with port 0, any free port is
            used.
        :returns: the port number.
        :raises OSError: if it cannot be used; nothing is open then.
        """
        try:
            for info in socket.getaddrinfo(
                address.host,
                address.port,
                type=socket.SOCK_STREAM,
                flags=socket.AI_PASSIVE,
            ):
                opened = _listen(info, self._buffers)
                self._sockets.append(opened)
                self._watch(opened)
        except OSError:
            self.close()
            raise
        return self._sockets[0].getsockname()[1]

    def resume(self):
        """Accept at once what has waited for room."""
        for opened in tuple(self._timers_by_paused):
            self._watch(opened)

    def close(self):
        """Refuse new connections."""
        for opened in self._sockets:
            self._loop.remove_reader(opened)
            opened.close()
        self._sockets = []

    async def finish(self):
        """Refuse new connections, but accept the established ones first.

        Their callers may have sent a request.
        """
        for opened in self._sockets:
            self._accept(opened)
        self.close()
        if self._accepting:
            await asyncio.wait(self._accepting)

    def _accept(self, opened):
        """Accept the connections that are established at a socket."""
        for number in range(self._buffers.backlog):
            if not self._admission.admits_connection(len(self._accepting)):
                if not number:
                    self._admission.make_room_for_connection()
                    self._accept_later(opened, ACCEPT_PAUSE_S)
                return
            try:
                connection, _ = opened.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.emit(catalogue.UNEXPECTED, detail=f'accept: {error!r}')
                if error.errno in EXHAUSTED_ERRORS:
                    self._accept_later(opened, ACCEPT_RETRY_DELAY_S)
                    return
                continue
            connection.setblocking(False)
            self._serve(connection)

    def _accept_later(self, opened, delay_s):
        self._loop.remove_reader(opened)
        self._timers_by_paused[opened] = self._loop.call_later(
            delay_s, self._watch, opened
        )

    def _watch(self, opened):
        timer = self._timers_by_paused.pop(opened, None)
        if timer is not None:
            timer.cancel()
        if opened in self._sockets:
            self._loop.add_reader(opened, self._accept, opened)

    def _serve(self, connection):
        accepting = self._loop.create_task(
            self._loop.connect_accepted_socket(self._make_protocol, connection)
        )
        self._accepting.add(accepting)
        accepting.add_done_callback(self._accepting.discard)
        accepting.add_done_callback(tasks.log_exception)


def _listen(info, buffers):
    """Return a listening socket for an entry of getaddrinfo.

    :param buffers: the Buffers, which accepted sockets inherit.
    """
    family, kind, protocol, _, address = info
    opened = socket.socket(family, kind, protocol)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for option, size in (
            (socket.SO_RCVBUF, buffers.receive_bytes),
            (socket.SO_SNDBUF, buffers.send_bytes),
        ):
            if size is not None:
                opened.setsockopt(socket.SOL_SOCKET, option, size)
        if family == socket.AF_INET6:
            opened.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        opened.bind(address)
        opened.listen(buffers.backlog)
        opened.setblocking(False)
    except OSError:
        opened.close()
        raise
    return opened
