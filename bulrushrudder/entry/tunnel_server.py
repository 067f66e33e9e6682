"""Serves tunnels to backend servers for entry processes of other VMs."""

import asyncio
import contextlib
import math

from returns import result

from bulrushrudder.core import ranking
from bulrushrudder.entry import zone_traffic
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import paths
from bulrushrudder.protocol import tunnel_ends
from bulrushrudder.protocol import tunnel_messages
from bulrushrudder.protocol import tunnels

POLL_INTERVAL_S = 0.02
# A server that accepts no connection within this time may be behind a cut.
PROMPT_S = 0.1
FLUSH_TIMEOUT_S = 1.0
# At most one line a VM is logged in this time.
LOG_INTERVAL_S = 10.0


class TunnelServer:
    """Connects other entry processes to servers of the own view.

    Servers are always dialled directly, so that a tunnel never leads
    through two VMs.

    :param direct: the DirectNetwork of this VM.
    :param network: the RoutedNetwork of this VM.
    :param view: the View of the log.
    :param metrics: the EntryMetrics.
    :param is_leaving: function that returns whether the process stops.
    :param zone: availability zone of this VM.
    :param ledger: the Ledger of the process, which has room for tunnels or
        not.
    """

    def __init__(
        self, direct, network, view, metrics, is_leaving, zone, ledger
    ):
        self._ledger = ledger
        self._direct = direct
        self._zone = zone
        self._network = network
        self._view = view
        self._metrics = metrics
        self._is_leaving = is_leaving
        self._tunnels = set()
        self._logged_s_by_vm = {}

    @property
    def number(self):
        """Return the number of tunnels."""
        return len(self._tunnels)

    async def serve(self, link, request, reader, writer):
        """Serve one tunnel until it ends.

        :param link: the Link on which it was asked for.
        :param request: the OpenTunnel.
        :param reader: the StreamReader of the link.
        :param writer: the StreamWriter of the link.
        """
        with self._ledger.tunnel() as has_room:
            match await self._connect(request, has_room):
                case result.Failure(refused):
                    link.send(refused)
                    await _flush(link, reader)
                case result.Success(server_end):
                    await self._copy(link, request, server_end, reader, writer)

    async def _copy(self, link, request, server_end, reader, writer):
        """Copy bytes until both connections have ended."""
        if reader.at_eof() or writer.transport.is_closing():
            server_end.transport.abort()
            return
        tunnel = tunnel_ends.Tunnel(writer.transport, server_end)
        link.send(tunnel_messages.TunnelOpened())
        tunnel.begin(await tunnels.take_rest(reader))
        self._tunnels.add(tunnel)
        self._metrics.count_tunnel()
        self._log(link.peer.vm, request.server)
        try:
            await tunnel.ended.wait()
        finally:
            self._tunnels.discard(tunnel)
            tunnel.abort()
            self._count(link.peer.vm, request.server, tunnel.size)

    async def finish(self, until_s):
        """Wait until no tunnel is left.

        :param until_s: monotonic seconds at which the wait ends.
        """
        loop = asyncio.get_running_loop()
        while self._tunnels and loop.time() < until_s:
            await asyncio.sleep(
                max(0.0, min(POLL_INTERVAL_S, until_s - loop.time()))
            )

    def close(self):
        """Break all tunnels."""
        for tunnel in tuple(self._tunnels):
            tunnel.abort()

    def _log(self, vm, server_id):
        """Log that a VM is relayed for, unless that was logged lately."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._logged_s_by_vm.get(vm, -math.inf) >= LOG_INTERVAL_S:
            self._logged_s_by_vm[vm] = now_s
            log.emit(
                catalogue.RELAYING,
                peer=vm,
                server=server_id,
                tunnels=len(self._tunnels),
            )

    def _count(self, vm, server_id, size):
        """Count the crossings that a tunnel adds to a direct connection.

        :param vm: the VM that was relayed for.
        :param size: bytes that the tunnel carried.
        """
        sessions = self._view.state.sessions.by_vm
        dialler = sessions.get(vm)
        server = self._view.state.servers.by_id.get(server_id)
        if dialler is None or server is None:
            return
        legs = (dialler.zone != self._zone) + (self._zone != server.zone)
        added = legs - (dialler.zone != server.zone)
        if added:
            zone_traffic.count_tunnel(self._metrics, added * size)

    async def _connect(self, request, has_room):
        """Connect to a server.

        :param has_room: whether there is room for one more tunnel.
        :returns: a Success with the ServerEnd, or a Failure with the
            TunnelRefused.
        """
        if self._is_leaving():
            return _refused(paths.RelayProblem.STOPPING)
        if not has_room:
            return _refused(paths.RelayProblem.BUSY)
        server = self._view.state.servers.by_id.get(request.server)
        if server is None or server.incarnation != request.incarnation:
            return _refused(paths.RelayProblem.UNKNOWN_SERVER)
        if not self._network.may_relay(server):
            return _refused(paths.RelayProblem.PATH_LOST)
        return await self._dial(server)

    async def _dial(self, server):
        """Dial a server, and another one if it does not accept at once.

        :returns: as _connect.
        """
        async with asyncio.TaskGroup() as group:
            dialling = group.create_task(self._try(server))
            await asyncio.wait({dialling}, timeout=PROMPT_S)
            if dialling.done() and isinstance(
                dialling.result(), result.Success
            ):
                return dialling.result()
            checking = group.create_task(self._reaches_another(server))
        match dialling.result():
            case result.Failure(problem):
                return _refused(problem, checking.result())
        return dialling.result()

    async def _try(self, server):
        """Dial a server.

        :returns: a Success with the ServerEnd, or a Failure with the
            RelayProblem.
        """
        try:
            return result.Success(
                await self._direct.open(server, tunnel_ends.ServerEnd)
            )
        except ConnectionRefusedError:
            return result.Failure(paths.RelayProblem.SERVER_REFUSES)
        except (OSError, TimeoutError):
            return result.Failure(paths.RelayProblem.SERVER_SILENT)

    async def _reaches_another(self, server):
        """Return whether this VM can connect to another server now.

        One of the same service says most, as a path may be lost to one
        service only; servers of one service may have crashed together.
        """
        servers = self._view.state.servers
        alike = set()
        for served in server.serves:
            alike.update(servers.by_served.get(served, ()))
        others = servers.by_id.keys() - alike
        for candidates in (alike - {server.id}, others - {server.id}):
            chosen = ranking.choose(server.id, candidates)
            if chosen is not None and await self._accepts(chosen):
                return True
        return False

    async def _accepts(self, server_id):
        """Return whether a server accepts a connection."""
        server = self._view.state.servers.by_id.get(server_id)
        if server is None:
            return False
        match await self._try(server):
            case result.Success(witness):
                witness.transport.abort()
                return True
        return False


def _refused(problem, reaches_others=False):
    return result.Failure(
        tunnel_messages.TunnelRefused(int(problem), reaches_others)
    )


async def _flush(link, reader):
    """Let a refusal leave before the link closes."""
    link.end()
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(FLUSH_TIMEOUT_S):
            await reader.read(1)
