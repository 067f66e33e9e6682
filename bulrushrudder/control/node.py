"""The replicated log as seen by one control process."""

import asyncio
import dataclasses
import itertools

from returns import result

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import core
from bulrushrudder.consensus import events
from bulrushrudder.consensus import types
from bulrushrudder.control import compaction
from bulrushrudder.control import driver
from bulrushrudder.control import member_log
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import errors as link_errors
from bulrushrudder.protocol import frames
from bulrushrudder.protocol import log_messages
from bulrushrudder.state import machine
from bulrushrudder.state import results
from bulrushrudder.storage import errors

PROPOSE_TIMEOUT_S = 4.0
READ_INDEX_TIMEOUT_S = 1.5
RETRY_INTERVAL_S = 0.05
LEADERSHIP_TRANSFER_TIMEOUT_S = 2.0
# Leaves room for the message that carries the command to other members.
MAX_COMMAND_BYTES = frames.MAX_FRAME_BYTES - 64 * 1024
NO_ROOM = 'the disk of the leader is full; the change had no effect'
NO_DISK = 'the disk of the leader takes no writes; the change had no effect'


@dataclasses.dataclass(frozen=True, slots=True)
class PendingProposal:
    """A proposed command that is not committed yet.

    :param term: the term in which the leader appended the command.
    :param future: resolves to the Outcome.
    """

    term: int
    future: asyncio.Future


class Node:
    """The log, the state that results from it, and access to the leader.

    :param replica: the Replica.
    :param store: the Store of its data folder.
    :param peers: the Peers, with links to the other control processes.
    :param address_of: function that converts a member's address to a
        config Address.
    :param on_committed: called after each batch of committed commands.
    :param on_failed: called when the disk fails and the process must
        stop.
    """

    def __init__(
        self, replica, store, peers, address_of, on_committed, on_failed
    ):
        self.replica = replica
        self.state = machine.State()
        self._peers = peers
        self._address_of = address_of
        self._on_committed = on_committed
        self._driver = driver.Driver(
            replica,
            store,
            self._collect,
            self._execute,
            self._refuse,
            on_failed,
        )
        self._tokens = itertools.count(1)
        self._queued_proposals = []
        self._futures_by_token = {}
        self._pending_by_index = {}
        self._read_index_running = None
        self._read_index_next = None
        self._applied_event = asyncio.Event()
        self._was_leader = False
        self._compaction = compaction.Compaction(replica.log)
        if replica.log.snapshot.index:
            self.state.restore(_decode(replica.log.snapshot.data))

    @property
    def index(self):
        """Return the index of the last entry applied."""
        return self.state.index

    @property
    def is_ready_leader(self):
        """Return whether this process leads and may answer as leader.

        A new leader may only do so once an entry of its term is
        committed.
        """
        return self.replica.has_committed_in_term

    @property
    def leader_address(self):
        """Return the config Address of the leader.

        :returns: None if there is no leader or this process leads.
        """
        leader = self.replica.leader
        if leader is None or leader.id == self.replica.id:
            return None
        return self._address_of(leader.address)

    def other_addresses(self):
        """Return the config Addresses of the other members."""
        return [
            self._address_of(member.address)
            for member in self.replica.members
            if member.id != self.replica.id
        ]

    async def run(self):
        """Run until cancelled, or until the disk fails."""
        await self._driver.run()

    def receive(self, message):
        """Handle a consensus message of another control process."""
        self._driver.put(events.Received(message))

    async def propose(self, command, timeout_s=None):
        """Commit a command, through the leader if that is another.

        Retries only after attempts that had no effect.

        :param timeout_s: seconds that all attempts together may take;
            PROPOSE_TIMEOUT_S if None.
        :returns: the Outcome of the command.
        """
        data = codec.encode(command)
        if len(data) > MAX_COMMAND_BYTES:
            return results.Rejected(
                f'the change has {len(data)} bytes in the log, more than '
                f'{MAX_COMMAND_BYTES}'
            )
        timeout_s = PROPOSE_TIMEOUT_S if timeout_s is None else timeout_s
        deadline_s = _now_s() + timeout_s
        while (left_s := deadline_s - _now_s()) > 0:
            outcome = await self._try_propose(data, left_s)
            if outcome is not None:
                return outcome
            await asyncio.sleep(RETRY_INTERVAL_S)
        return results.Unavailable(
            f'no leader accepted the change within {timeout_s} s'
        )

    async def propose_as_leader(self, data, timeout_s=PROPOSE_TIMEOUT_S):
        """Commit an encoded command if this process leads.

        :param timeout_s: seconds until the command must be committed.
        :returns: its Outcome, or None if it had no effect, because
            this process does not lead.
        """
        if self.replica.role is not core.Role.LEADER:
            return None
        future = asyncio.get_running_loop().create_future()
        self._queued_proposals.append((data, future))
        self._driver.wake()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return results.Unavailable(
                'the change was not committed in time; it may still take '
                'effect'
            )

    async def read_index(self):
        """Wait until the state is current.

        Concurrent calls share a quorum round, which starts after the
        last of them.

        :returns: an index that was current at some time after this call
            started, or None if no quorum confirmed one in time.
        """
        if self._read_index_next is None:
            self._read_index_next = asyncio.create_task(
                self._read_index_after(self._read_index_running)
            )
        return await asyncio.shield(self._read_index_next)

    async def read_index_as_leader(self):
        """Return a current index by a quorum round.

        :returns: the index, or None if this process does not lead.
        """
        if not self.is_ready_leader:
            return None
        token, future = self._new_read_request()
        self._driver.put(events.ReadIndexRequested(token))
        return await future

    def commands_after(self, index, max_count, max_bytes):
        """Return the encoded commands that follow an index.

        Entries without a command are represented by empty bytes.

        :param max_count: maximum number of entries.
        :param max_bytes: maximum size of all commands together; a single
            command may be larger.
        """
        max_count = min(max_count, self.index - index)
        entries = self.replica.log.after(index, max(max_count, 0))
        commands = []
        size = 0
        for entry in entries:
            command = _command_of(entry)
            size += len(command)
            if commands and size > max_bytes:
                break
            commands.append(command)
        return tuple(commands)

    def needs_snapshot(self, index):
        """Return whether to send the snapshot instead of entries.

        That is the case if entries are missing from the log, or if they
        are larger than the snapshot.

        :param index: index of the last entry that the observer has.
        """
        replica_log = self.replica.log
        if index >= replica_log.snapshot.index:
            return False
        if index + 1 < replica_log.first_index:
            return True
        missed = replica_log.after(index, replica_log.snapshot.index - index)
        size = sum(map(types.size, missed))
        return size > len(replica_log.snapshot.data)

    async def announce_stop(self):
        """Transfer leadership, and tell the leader of the departure.

        Returns after LEADERSHIP_TRANSFER_TIMEOUT_S at the latest.
        """
        was_leader = self.replica.role is core.Role.LEADER
        self._driver.put(events.StopRequested())
        deadline_s = _now_s() + LEADERSHIP_TRANSFER_TIMEOUT_S
        while was_leader and _now_s() < deadline_s:
            await asyncio.sleep(RETRY_INTERVAL_S)
            alone = len(types.voters(self.replica.members)) == 1
            if alone or self.leader_address is not None:
                return

    async def _try_propose(self, data, timeout_s):
        if self.replica.role is core.Role.LEADER:
            return await self.propose_as_leader(data, timeout_s)
        address = self.leader_address
        if address is None:
            return None
        answer = await self._peers.ask(
            address, log_messages.Forward(data), timeout_s
        )
        match answer:
            case result.Success(log_messages.Proposed(outcome=encoded)):
                return _decode(encoded)
            case result.Success(log_messages.NotLeader()):
                return None
            case result.Failure(link_errors.LinkError(sent=False)):
                return None
        return results.Unavailable(
            f'the leader at {address} did not answer; the change may have '
            'taken effect'
        )

    async def _read_index_after(self, running):
        if running is not None:
            await asyncio.wait([running])
        self._read_index_running = self._read_index_next
        self._read_index_next = None
        return await self._retry_read_index()

    async def _retry_read_index(self):
        deadline_s = _now_s() + READ_INDEX_TIMEOUT_S
        while _now_s() < deadline_s:
            index = await self._try_read_index()
            if index is not None:
                return await self._wait_for_index(index, deadline_s)
            await asyncio.sleep(RETRY_INTERVAL_S)
        return None

    async def _try_read_index(self):
        if self.replica.role is core.Role.LEADER:
            return await self.read_index_as_leader()
        address = self.leader_address
        if address is None:
            return None
        answer = await self._peers.ask(
            address, log_messages.ReadIndexRequest(), READ_INDEX_TIMEOUT_S
        )
        match answer:
            case result.Success(log_messages.ReadIndexResponse(index=index)):
                return index
        return None

    async def _wait_for_index(self, index, deadline_s):
        """Wait until an index is applied.

        :returns: the index, or None if the deadline has passed.
        """
        try:
            async with asyncio.timeout(deadline_s - _now_s()):
                while self.index < index:
                    self._applied_event.clear()
                    await self._applied_event.wait()
        except TimeoutError:
            return None
        return index

    def _new_read_request(self):
        token = next(self._tokens)
        future = asyncio.get_running_loop().create_future()
        self._futures_by_token[token] = [future]
        return token, future

    def _collect(self):
        """Return all queued commands as one Proposed event, or None."""
        self._log_leadership_change()
        self._compact_if_long()
        if not self._queued_proposals:
            return None
        token = next(self._tokens)
        self._futures_by_token[token] = [f for _, f in self._queued_proposals]
        commands = tuple(data for data, _ in self._queued_proposals)
        self._queued_proposals = []
        return events.Proposed(token, commands)

    def _execute(self, action):
        match action:
            case actions.Send(address=address, message=message):
                self._peers.send_or_drop(self._address_of(address), message)
            case actions.Apply(entries=entries):
                self._apply(entries)
            case actions.SaveSnapshot(snapshot=snapshot):
                self._compaction.record_snapshot(snapshot, self.index)
            case actions.Restore(snapshot=snapshot):
                self._restore(snapshot)
            case actions.ProposalAppended(token=token, first=first, term=term):
                futures = self._futures_by_token.pop(token)
                for index, future in enumerate(futures, first):
                    self._pending_by_index[index] = PendingProposal(
                        term, future
                    )
            case actions.ReadIndexConfirmed(token=token, index=index):
                self._resolve(token, index)
            case actions.NotLeader(token=token):
                self._resolve(token, None)
            case actions.MemberChanged():
                member_log.log_change(action, self.replica.term)

    def _refuse(self, token, error):
        detail = NO_DISK
        match error:
            case errors.DiskFull():
                detail = NO_ROOM
        self._resolve(token, results.Unavailable(detail))

    def _resolve(self, token, answer):
        for future in self._futures_by_token.pop(token, ()):
            if not future.done():
                future.set_result(answer)

    def _apply(self, entries):
        for entry in entries:
            outcome = self._apply_one(entry)
            self._resolve_proposal(entry, outcome)
        self._applied_event.set()
        self._on_committed()

    def _apply_one(self, entry):
        self._compaction.record_applied(entry)
        match entry.payload:
            case types.Command(data=data):
                return self.state.apply(entry.index, _decode(data))
            case types.Configuration():
                member_log.log_committed(entry)
        self.state.skip_index(entry.index)
        return None

    def _resolve_proposal(self, entry, outcome):
        pending = self._pending_by_index.pop(entry.index, None)
        if pending is None or pending.future.done():
            return
        if pending.term != entry.term:
            outcome = results.Unavailable(
                f'another leader took over after term {pending.term}'
            )
        pending.future.set_result(outcome)

    def _restore(self, snapshot):
        self.state.restore(_decode(snapshot.data))
        superseded = [i for i in self._pending_by_index if i <= snapshot.index]
        for index in superseded:
            future = self._pending_by_index.pop(index).future
            if not future.done():
                future.set_result(
                    results.Unavailable(
                        'another leader took over; the change may have '
                        'taken effect'
                    )
                )
        self._applied_event.set()
        self._on_committed()

    def _log_leadership_change(self):
        is_ready_leader = self.is_ready_leader
        if is_ready_leader != self._was_leader:
            event = (
                catalogue.LEADERSHIP_GAINED
                if is_ready_leader
                else catalogue.LEADERSHIP_LOST
            )
            log.emit(event, term=self.replica.term)
        self._was_leader = is_ready_leader

    def _compact_if_long(self):
        if self._compaction.is_due(self.index, _now_s()):
            data = codec.encode(self.state.snapshot())
            self._driver.put(events.SnapshotTaken(self.index, data))


def _command_of(entry):
    match entry.payload:
        case types.Command(data=data):
            return data
    return b''


def _decode(data):
    return codec.decode(data).unwrap()


def _now_s():
    return asyncio.get_running_loop().time()
