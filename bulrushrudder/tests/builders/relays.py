"""A relay on loopback, and what it and its users are made of."""

import asyncio
import types

from bulrushrudder.config import settings
from bulrushrudder.core import ids
from bulrushrudder.engines import network
from bulrushrudder.entry import backend_paths
from bulrushrudder.metrics import entry as metrics_entry
from bulrushrudder.protocol import link
from bulrushrudder.state import servers
from bulrushrudder.state import sessions
from bulrushrudder.utils import client_ledger
from bulrushrudder.utils import client_limits
from bulrushrudder.utils import ports

SECRET = b'a secret of the cluster'


class CutNetwork:
    """A direct network whose paths can be cut.

    :ivar how: function of a BackendServer that returns None for a sound
        path, or the exception of connecting.
    :ivar dialled: ids of the servers that were dialled, in order.
    """

    def __init__(self):
        self.how = lambda server: None
        self.dialled = []
        self._direct = network.DirectNetwork()

    async def open(self, server, protocol_factory):
        self.dialled.append(server.id)
        error = self.how(server)
        if error is not None:
            if isinstance(error, TimeoutError):
                await asyncio.sleep(network.CONNECT_TIMEOUT_S)
            raise error
        return await self._direct.open(server, protocol_factory)


def view(*backend_servers):
    """Return a view of servers, without sessions."""
    table = servers.Servers()
    for index, server in enumerate(backend_servers, 1):
        table.apply(index, servers.JoinServer(server))
    return types.SimpleNamespace(
        state=types.SimpleNamespace(
            servers=table, sessions=sessions.Sessions()
        )
    )


class Vm:
    """The paths of one VM, which may relay for others.

    :param name: id of the VM.
    :param view_: the view, which the VMs of a fleet share.
    :ivar cut: the CutNetwork.
    :ivar network: the RoutedNetwork.
    :ivar ledger: the Ledger of a small VM.
    :ivar leaving: whether it stops.
    """

    def __init__(self, name, view_, zone='a', secret=SECRET):
        (port,) = ports.free_ports(1)
        self.owner = ids.Owner(ids.VmId(name), 1)
        self.zone = ids.Zone(zone)
        self.address = settings.Address(ports.LOOPBACK, port)
        self.view = view_
        self.cut = CutNetwork()
        self.leaving = False
        self.metrics = metrics_entry.EntryMetrics()
        self.ledger = client_ledger.Ledger(
            client_limits.derive(memory_mb=88, max_fds=1000)
        )
        self.paths = backend_paths.BackendPaths(
            self.cut,
            view_,
            self.owner,
            types.SimpleNamespace(
                zone=self.zone, secrets=types.SimpleNamespace(cluster=secret)
            ),
            self.metrics,
            lambda: self.leaving,
            self.ledger,
        )
        self.network = self.paths.network
        self.tunnels = self.paths.tunnels

    async def start(self, stack):
        """Listen for other VMs, and open a session."""
        listener = await link.listen(
            self.address,
            self.owner,
            SECRET,
            self._ignore,
            serve_tunnel=self.paths.tunnels.serve,
        )
        stack.callback(listener.close)
        stack.callback(self.paths.close)
        running = asyncio.create_task(self.network.run())
        stack.callback(running.cancel)
        self.open_session()
        return self

    def open_session(self, hosts_roles=True):
        """Open the session, or say that the VM stops."""
        self.view.state.sessions.apply(
            1,
            sessions.OpenSession(
                self.owner,
                self.zone,
                self.address.host,
                self.address.port,
                hosts_roles,
            ),
        )

    async def _ignore(self, link_, message):
        return None


class Recorder(asyncio.BufferedProtocol):
    """A connection of a user of relays that drops what it receives."""

    def __init__(self):
        self.relay = None
        self.last_used_s = 0.0
        self.closed = False
        self.idle = False
        self.reusable_until_s = 0.0
        self._transport = None
        self._buffer = bytearray(1000)

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def get_buffer(self, size):
        """Return the buffer."""
        return memoryview(self._buffer)

    def buffer_updated(self, size):
        """Drop what has arrived."""

    def eof_received(self):
        """Let the connection close."""

    def connection_lost(self, error):
        """Record the end."""
        self.closed = True

    def abort(self):
        """Close the connection."""
        self._transport.abort()
