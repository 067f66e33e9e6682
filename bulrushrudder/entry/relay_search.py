"""Finds a VM that connects this one to a backend server."""

import asyncio
import contextlib
import dataclasses

from returns import result

from bulrushrudder.config import settings
from bulrushrudder.core import ids
from bulrushrudder.lifecycle import paths
from bulrushrudder.lifecycle import relays
from bulrushrudder.protocol import tunnel_messages
from bulrushrudder.protocol import tunnels
from bulrushrudder.utils import timeouts

# Further VMs are asked if none has opened a tunnel after this time. Once
# the server is known to be down, nobody is waited for any longer.
NEXT_BATCH_S = 0.25
SEARCH_TIMEOUT_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """A connection through a relay.

    :param connection: the asyncio protocol of the connection.
    """

    connection: object
    owner: ids.Owner


@dataclasses.dataclass(frozen=True, slots=True)
class NotOpened:
    """No relay opened a tunnel.

    :param asked: how many VMs were asked.
    :param down: whether those that reach other servers agree that this
        one is down.
    :param refused: whether one of those says that it refuses connections.
    """

    asked: int
    down: bool
    refused: bool


class RelaySearch:
    """Opens connections to backend servers through other VMs.

    :param view: the View of the log.
    :param owner: the Owner that identifies this process.
    :param zone: availability zone of this VM.
    :param secret: the cluster secret.
    """

    def __init__(self, view, owner, zone, secret):
        self._view = view
        self._owner = owner
        self._secret = secret
        self._relays = relays.Relays(owner, zone)

    def serves(self, owner):
        """Return whether a process still relays; one that stops does not."""
        session = self._view.state.sessions.by_vm.get(owner.vm)
        return (
            session is not None
            and session.owner == owner
            and session.hosts_roles
        )

    async def open(self, server, protocol_factory):
        """Ask relays for a connection until one opens it.

        :param server: the BackendServer.
        :param protocol_factory: function that returns the asyncio
            BufferedProtocol of the connection.
        :returns: an Opened or a NotOpened.
        """
        key = paths.ServerKey(server.id, server.incarnation)
        candidates = self._relays.candidates(
            self._view.state.sessions.by_vm.values()
        )
        batches = self._relays.batches(candidates, key, _now_s())
        asks = _Asks(relays.Verdict(candidates))
        try:
            async with timeouts.RunningTimeout(SEARCH_TIMEOUT_S):
                return await self._ask_batches(
                    batches, asks, key, protocol_factory
                )
        except TimeoutError:
            for owner in asks.pending_owners():
                self._relays.failed(owner, key, None, _now_s())
            return asks.not_opened()
        finally:
            asks.cancel()

    async def open_through(self, owner, server, protocol_factory):
        """Ask one relay for a connection.

        :param owner: its Owner.
        :returns: an Opened, or None.
        """
        key = paths.ServerKey(server.id, server.incarnation)
        try:
            async with timeouts.RunningTimeout(SEARCH_TIMEOUT_S):
                answer = await self._ask(owner, key, protocol_factory)
        except TimeoutError:
            answer = result.Failure(None)
        match answer:
            case result.Success(connection):
                self._relays.opened(owner, _now_s())
                return Opened(connection, owner)
            case result.Failure(refused):
                self._relays.failed(owner, key, refused, _now_s())
        return None

    async def _ask_batches(self, batches, asks, key, protocol_factory):
        next_s = _now_s()
        while batches or asks.pending:
            if asks.verdict.down:
                batches = []
                if _now_s() >= next_s:
                    break
            if batches and (not asks.pending or _now_s() >= next_s):
                for owner in batches.pop(0):
                    asks.start(owner, self._ask(owner, key, protocol_factory))
                next_s = _now_s() + NEXT_BATCH_S
            for owner, answer in await asks.answers(
                max(0.0, next_s - _now_s())
                if batches or asks.verdict.down
                else None
            ):
                match answer:
                    case result.Success(connection):
                        self._relays.opened(owner, _now_s())
                        return Opened(connection, owner)
                    case result.Failure(refused):
                        self._relays.failed(owner, key, refused, _now_s())
                        asks.verdict.record(refused)
        return asks.not_opened()

    async def _ask(self, owner, key, protocol_factory):
        """Ask one VM.

        :returns: a Success with the connection, or a Failure with the
            Answer or None.
        """
        session = self._view.state.sessions.by_vm.get(owner.vm)
        if session is None or session.owner != owner:
            return result.Failure(None)
        opened = await tunnels.dial(
            settings.Address(session.address, session.port),
            self._owner,
            self._secret,
            tunnel_messages.OpenTunnel(key.id, key.incarnation),
            protocol_factory(),
        )
        match opened:
            case result.Failure(tunnel_messages.TunnelRefused() as refused):
                return result.Failure(_answer(refused))
            case result.Failure(_):
                return result.Failure(None)
        return opened


class _Asks:
    """The VMs that are being asked, and what the others have said.

    :param verdict: the relays Verdict.
    """

    def __init__(self, verdict):
        self.pending = set()
        self.verdict = verdict
        self._owners_by_task = {}

    def start(self, owner, coroutine):
        task = asyncio.create_task(coroutine)
        self._owners_by_task[task] = owner
        self.pending.add(task)

    def pending_owners(self):
        return [self._owners_by_task[task] for task in self.pending]

    async def answers(self, timeout_s):
        """Return the owners that have answered, with their answers."""
        if not self.pending:
            return []
        done, self.pending = await asyncio.wait(
            self.pending,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        # A second connection that has opened at the same time is not used.
        answers = [(self._owners_by_task[t], t.result()) for t in done]
        opened = [t for t in done if isinstance(t.result(), result.Success)]
        self.pending |= set(opened[1:])
        unused = {self._owners_by_task[task] for task in opened[1:]}
        return [(o, answer) for o, answer in answers if o not in unused]

    def not_opened(self):
        return NotOpened(
            len(self._owners_by_task),
            self.verdict.down,
            self.verdict.down and self.verdict.refused,
        )

    def cancel(self):
        for task in self.pending:
            task.cancel()
            task.add_done_callback(_abort)


def _abort(task):
    """Close a connection that nobody uses."""
    if not task.cancelled() and not task.exception():
        match task.result():
            case result.Success(connection):
                connection.abort()


def _answer(refused):
    with contextlib.suppress(ValueError):
        return relays.Answer(
            paths.RelayProblem(refused.reason), refused.reaches_others
        )
    return None


def _now_s():
    return asyncio.get_running_loop().time()
