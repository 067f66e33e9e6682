"""Connects to backend servers directly, or through other VMs."""

import asyncio

from bulrushrudder.core import units
from bulrushrudder.entry import relay_search
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import paths
from bulrushrudder.utils import tasks

CHECK_INTERVAL_S = 0.25
# Connections that are reset are so soon after they open.
PROBE_S = 0.2


class PathLostError(OSError):
    """A server cannot be reached, and this says nothing about it."""


class RoutedNetwork:
    """Opens connections on the path that the decisions choose.

    :param direct: the DirectNetwork of this VM.
    :param search: the RelaySearch.
    :param view: the View of the log.
    :param metrics: the EntryMetrics.
    :ivar paths: the Paths of this VM.
    """

    def __init__(self, direct, search, view, metrics):
        self._direct = direct
        self._view = view
        self._search = search
        self._metrics = metrics
        self.paths = paths.Paths()
        self._relayed = set()
        self._tasks = set()
        self._searches_by_key = {}
        self._lost = asyncio.Event()

    def is_lost(self, server):
        """Return whether the direct path to a server is lost."""
        return self.paths.is_lost(_key(server))

    def plan(self, server):
        """Return the Plan for a connection to a server."""
        return self.paths.plan(_key(server), _now_s())

    def may_relay(self, server):
        """Return whether this VM dials a server for another VM."""
        return self.paths.may_relay(_key(server), _now_s())

    def doubts(self, server):
        """Return whether a lost path can explain a failed call."""
        return self.paths.doubts(_key(server))

    async def open(self, server, protocol_factory):
        """Open a connection.

        :param server: the BackendServer.
        :param protocol_factory: function that returns the Connection.
        :returns: the Connection.
        :raises ConnectionRefusedError: if the server refuses connections,
            as seen by a VM that reaches others.
        :raises OSError: if the server cannot be reached.
        :raises TimeoutError: if it does not react in time.
        """
        match self.plan(server):
            case paths.DirectFirst():
                return await self._open_direct_first(server, protocol_factory)
            case paths.RelaysFirst():
                return await self._open_relayed_first(server, protocol_factory)
            case paths.DirectOnly(refused=refused):
                try:
                    return await self._open_direct(server, protocol_factory)
                except (OSError, TimeoutError) as error:
                    raise _unconfirmed(error, refused) from error
            case paths.Unreachable(ask_again=ask_again):
                if ask_again and _key(server) not in self._searches_by_key:
                    self._begin_search(
                        server, protocol_factory, _now_s(), True
                    ).add_done_callback(_abort)
                raise PathLostError('neither this VM nor a relay connects')
        raise AssertionError('unreachable: no plan for a connection')

    def may_reuse(self, server, connection):
        """Return whether an idle connection may carry a call.

        :param server: the BackendServer.
        :param connection: the Connection.
        """
        key = _key(server)
        if connection.relay is None:
            return self.paths.may_reuse(key, connection.last_used_s)
        if not self._search.serves(connection.relay):
            return False
        return self.paths.use_tunnel(key, _now_s())

    def may_send(self, server):
        """Return whether a server may be sent a request now.

        Its zone may have been evacuated while the connection was opened.
        """
        servers = self._view.state.servers
        return servers.takes_requests(server) and self._view.is_settled(
            _now_s()
        )

    def call_ended(self, server, connection):
        """Record what the end of a call says about the direct path.

        :param server: the BackendServer.
        :param connection: the Connection.
        """
        if connection.relay is not None:
            return
        if connection.broke_unanswered:
            self._handle(paths.DirectBroke(_key(server)))
            self._lost.set()
        elif (
            connection.answered
            and self.paths.breaks(_key(server))
            and not self.is_lost(server)
        ):
            self._handle(paths.DirectWorks(_key(server)))

    async def run(self):
        """Probe lost paths and close idle tunnels, while there are any."""
        while True:
            await self._lost.wait()
            while self._relayed or not self.paths.idle:
                await asyncio.sleep(CHECK_INTERVAL_S)
                self._close_tunnels()
                for key in self.paths.due_probes(_now_s()):
                    self._spawn(self._probe(key))
                self._metrics.set_lost_paths(self.paths.lost)
            self._lost.clear()

    def close(self):
        """End all probes and searches."""
        for task in self._tasks:
            task.cancel()

    async def _open_direct(self, server, protocol_factory):
        """Open a direct connection.

        :raises OSError: if the server cannot be reached.
        :raises TimeoutError: if it does not react in time.
        """
        connection = await self._direct.open(server, protocol_factory)
        self._handle(paths.DirectOpened(_key(server)))
        return connection

    async def _open_direct_first(self, server, protocol_factory):
        asked_s = _now_s()
        try:
            return await self._open_direct(server, protocol_factory)
        except (OSError, TimeoutError) as error:
            failed = error
        match await self._open_relayed(
            server, protocol_factory, asked_s, True
        ):
            case relay_search.Opened(connection=connection):
                return connection
            case relay_search.NotOpened(asked=0):
                raise failed
            case relay_search.NotOpened() as seen:
                raise _confirmed(failed, seen)

    async def _open_relayed_first(self, server, protocol_factory):
        match await self._open_relayed(
            server, protocol_factory, _now_s(), False
        ):
            case relay_search.Opened(connection=connection):
                return connection
            case relay_search.NotOpened() as seen:
                pass
        try:
            return await self._open_direct(server, protocol_factory)
        except (OSError, TimeoutError) as error:
            raise _confirmed(error, seen) from error

    async def _open_relayed(
        self, server, protocol_factory, asked_s, direct_failed
    ):
        """Open a connection through a relay.

        One search at a time asks for a server. Those who wait for it open
        their connections through the relay that it finds.

        :returns: an Opened or a NotOpened.
        """
        key = _key(server)
        while (searching := self._searches_by_key.get(key)) is not None:
            match await asyncio.shield(searching):
                case relay_search.NotOpened() as found:
                    return found
                case relay_search.Opened(owner=owner):
                    opened = await self._search.open_through(
                        owner, server, protocol_factory
                    )
                    if opened is not None:
                        self._adopt(opened)
                        return opened
        searching = self._begin_search(
            server, protocol_factory, asked_s, direct_failed
        )
        try:
            return await asyncio.shield(searching)
        except asyncio.CancelledError:
            searching.add_done_callback(_abort)
            raise

    def _begin_search(self, server, protocol_factory, asked_s, direct_failed):
        """Search for a relay.

        The search goes on if its caller gives up, since what it finds out
        serves the others who wait, and the next calls.

        :returns: the task, whose result is an Opened or a NotOpened.
        """
        key = _key(server)
        searching = self._spawn(
            self._search_relay(
                server, protocol_factory, asked_s, direct_failed
            )
        )
        self._searches_by_key[key] = searching
        searching.add_done_callback(
            lambda _: self._searches_by_key.pop(key, None)
        )
        return searching

    async def _search_relay(
        self, server, protocol_factory, asked_s, direct_failed
    ):
        key = _key(server)
        found = await self._search.open(server, protocol_factory)
        match found:
            case relay_search.Opened(owner=owner):
                self._adopt(found)
                self._handle(
                    paths.RelayOpened(key, owner.vm, asked_s, direct_failed)
                )
            case relay_search.NotOpened(down=True, refused=refused):
                self._handle(paths.FoundDown(key, refused))
            case relay_search.NotOpened(asked=asked) if asked:
                self._handle(paths.FoundNoRelay(key))
        self._lost.set()
        return found

    def _adopt(self, opened):
        """Keep a connection through a relay, to close it when it idles."""
        opened.connection.relay = opened.owner
        self._relayed.add(opened.connection)
        self._metrics.count_relayed_connection()
        self._lost.set()

    async def _probe(self, key):
        """Try the direct path to a server, without a call."""
        server = self._view.state.servers.by_id.get(key.id)
        if server is None or server.incarnation != key.incarnation:
            return
        try:
            probe = await self._direct.open(server, _Probe)
        except (OSError, TimeoutError):
            self._handle(paths.DirectFailed(key))
            return
        await asyncio.sleep(PROBE_S)
        probe.transport.abort()
        if probe.broke:
            self._handle(paths.DirectFailed(key))
        else:
            self._handle(paths.DirectWorks(key))

    def _handle(self, event):
        for action in self.paths.handle(event, _now_s()):
            match action:
                case paths.PathLost(server=server, vm=vm):
                    log.emit(
                        catalogue.PATH_LOST,
                        server=server.id,
                        incarnation=server.incarnation,
                        through=vm,
                        cut_off=self.paths.is_cut_off(),
                        lost=self.paths.lost,
                    )
                case paths.PathRestored(server=server, lost_s=lost_s):
                    log.emit(
                        catalogue.PATH_RESTORED,
                        server=server.id,
                        incarnation=server.incarnation,
                        lost_ms=round(lost_s * units.MS_PER_SECOND),
                        lost=self.paths.lost,
                    )

    def _close_tunnels(self):
        """Close idle tunnels that no call will use."""
        for connection in tuple(self._relayed):
            if connection.closed:
                self._relayed.discard(connection)
            elif connection.idle and (
                _now_s() >= connection.reusable_until_s
                or not self._search.serves(connection.relay)
                or not self.paths.lost
            ):
                connection.abort()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(tasks.log_exception)
        return task


class _Probe(asyncio.Protocol):
    """A connection that carries nothing.

    :ivar broke: whether it broke, and was not closed.
    """

    def __init__(self):
        self.transport = None
        self.broke = False

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, error):
        """Record a break."""
        self.broke = error is not None


def _key(server):
    return paths.ServerKey(server.id, server.incarnation)


def _confirmed(error, seen):
    """Return the error of a connection that no relay could open either.

    :param error: the error of the direct connection.
    :param seen: the NotOpened.
    """
    if seen.down and seen.refused:
        return ConnectionRefusedError('refused, also through other VMs')
    return _unconfirmed(error, refused=seen.asked == 0)


def _unconfirmed(error, refused):
    """Return the error of a direct connection without what it cannot tell.

    :param refused: whether the server is known to refuse connections.
    """
    if isinstance(error, ConnectionRefusedError) and not refused:
        return PathLostError('refused, but no other VM has confirmed it')
    return error


def _abort(searching):
    """Close a connection that nobody waits for any more."""
    if not searching.cancelled() and not searching.exception():
        match searching.result():
            case relay_search.Opened(connection=connection):
                connection.abort()


def _now_s():
    return asyncio.get_running_loop().time()
