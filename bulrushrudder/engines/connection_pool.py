"""Pool of persistent connections to backend servers.

Calls are never retried here.
"""

import asyncio
import collections
import contextlib
import enum
import functools

from returns import result

from bulrushrudder.engines import connections
from bulrushrudder.engines import kept_bytes
from bulrushrudder.engines import network
from bulrushrudder.engines import responses

ANSWERED_LATELY_S = 0.5
_EXPIRED = responses.Problem(
    responses.ProblemKind.EXPIRED,
    'the permission to send it ran out',
    sent=False,
)
_HELD_BACK = responses.Problem(
    responses.ProblemKind.HELD_BACK,
    'the server is cold and got no more requests in time',
    sent=False,
)
_EVACUATED = responses.Problem(
    responses.ProblemKind.UNREACHABLE,
    'the zone of the server is evacuated, or the view may lack that',
    sent=False,
)


class Listening(enum.Enum):
    """Whether a server accepts connections."""

    ACCEPTS = 'accepts'
    REFUSES = 'refuses'
    UNKNOWN = 'unknown'


class ConnectionPool:
    """Pool of idle connections by server.

    :param id_header: lowercase name of the header in which responses echo
        the id of their call.
    :param on_head: function of the BackendServer, the monotonic seconds at
        which the call was sent, and the Head; called when a head arrives.
    :param network_: opens connections, an object with the methods of
        DirectNetwork, which is the default.
    :param permit: coroutine function of a BackendServer that waits until a
        counted call may be sent to it; it returns the seconds of the loop's
        clock after which it must not be sent, or None if it may not be.
    :param max_kept_bytes: limit on the answers that are being read and are
        not held for a client.
    """

    def __init__(
        self,
        id_header,
        on_head=connections.ignore_head,
        network_=None,
        permit=None,
        max_kept_bytes=kept_bytes.MAX_KEPT_BYTES,
    ):
        self._permit = permit
        self._network = network_ or network.DirectNetwork()
        self._id_header = id_header
        self._on_head = on_head
        self._kept_bytes = kept_bytes.KeptBytes(max_kept_bytes)
        self._idle_by_server = collections.defaultdict(list)
        self._checks_by_server = {}

    @contextlib.asynccontextmanager
    async def call(
        self,
        server,
        call,
        idle_s=connections.DEFAULT_IDLE_TIMEOUT_S,
    ):
        """Send a call over an idle or a new connection.

        Yields a Success with the Connection, or a Failure with a
        Problem.

        :param server: the BackendServer.
        :param call: the Call.
        :param idle_s: longest idle time in seconds of a connection to
            reuse; 0 for a new connection.
        """
        expires_s = call.expires_s
        if call.starts_work and self._permit is not None:
            expires_s = await self._permit(server)
        if expires_s is None:
            yield result.Failure(_HELD_BACK)
            return
        match await self._connect(server, call.id, idle_s):
            case result.Failure(problem):
                yield result.Failure(problem)
                return
            case result.Success(connection):
                pass
        sent_s = asyncio.get_running_loop().time()
        if sent_s > expires_s:
            self._release(server, connection)
            yield result.Failure(_HELD_BACK if call.starts_work else _EXPIRED)
            return
        if call.starts_work and not self._network.may_send(server):
            self._release(server, connection)
            yield result.Failure(_EVACUATED)
            return
        connection.send(
            call,
            functools.partial(self._on_head, server, sent_s),
        )
        try:
            yield result.Success(connection)
        finally:
            connection.release()
            self._network.call_ended(server, connection)
            self._release(server, connection)

    def examine(self, server):
        """Check in the background why a call was left unanswered.

        A lost path is so found out before the next call. Nothing is done
        if the server has completed another answer lately.

        :param server: the BackendServer.
        """
        now_s = asyncio.get_running_loop().time()
        last_used_s = max(
            (c.last_used_s for c in self._idle_by_server[_server_key(server)]),
            default=0.0,
        )
        if now_s - last_used_s > ANSWERED_LATELY_S:
            self._start_check(server)

    async def check(self, server):
        """Find out whether a server accepts connections.

        Concurrent checks of a server share one connection, which is kept
        for later calls.

        :param server: the BackendServer.
        :returns: a Listening; UNKNOWN if it does not react in time.
        """
        return await asyncio.shield(self._start_check(server))

    def _start_check(self, server):
        """Return the task that checks a server; start it if there is none."""
        key = _server_key(server)
        checking = self._checks_by_server.get(key)
        if checking is None:
            checking = asyncio.create_task(self._check(server))
            self._checks_by_server[key] = checking
            checking.add_done_callback(
                lambda _: self._checks_by_server.pop(key, None)
            )
        return checking

    async def _check(self, server):
        try:
            connection = await self._open(server)
        except ConnectionRefusedError:
            return Listening.REFUSES
        except (OSError, TimeoutError):
            return Listening.UNKNOWN
        self._release(server, connection)
        return Listening.ACCEPTS

    def close(self):
        """Close all idle connections and end all checks."""
        for checking in list(self._checks_by_server.values()):
            checking.cancel()
        for idle in self._idle_by_server.values():
            for connection in idle:
                connection.abort()
        self._idle_by_server.clear()

    async def _connect(self, server, call_id, idle_s):
        idle = self._idle_by_server[_server_key(server)]
        now_s = asyncio.get_running_loop().time()
        kept = []
        found = None
        while idle and idle_s > 0.0 and found is None:
            connection = idle.pop()
            fresh = now_s - connection.last_used_s <= idle_s
            if not (
                connection.usable
                and now_s < connection.reusable_until_s
                and fresh
                and self._network.may_reuse(server, connection)
            ):
                connection.abort()
            elif connection.has_carried(call_id):
                kept.append(connection)
            else:
                found = connection
        idle += reversed(kept)
        if found is not None:
            return result.Success(found)
        return await self._dial(server)

    async def _dial(self, server):
        try:
            connection = await self._open(server)
        except (OSError, TimeoutError) as error:
            detail = repr(error)
            return result.Failure(
                responses.Problem(
                    responses.ProblemKind.UNREACHABLE, detail, sent=False
                )
            )
        return result.Success(connection)

    async def _open(self, server):
        """Open a connection.

        :raises OSError: if the server cannot be reached.
        :raises TimeoutError: if it does not react in time.
        """
        return await self._network.open(
            server,
            lambda: connections.Connection(self._id_header, self._kept_bytes),
        )

    def _release(self, server, connection):
        if not connection.usable:
            connection.retire()
            return
        now_s = asyncio.get_running_loop().time()
        connection.last_used_s = now_s
        connection.reusable_until_s = now_s + connection.idle_timeout_s
        self._idle_by_server[_server_key(server)].append(connection)


def _server_key(server):
    return server.host, server.port, server.id, server.incarnation
