"""Serves the log to other processes."""

import asyncio
import contextlib

from returns import result

from bulrushrudder.consensus import messages as consensus_messages
from bulrushrudder.control import log_feed
from bulrushrudder.control import pauses
from bulrushrudder.control import server_log
from bulrushrudder.control import status
from bulrushrudder.control import stream_registry
from bulrushrudder.documents import types
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import suspect_expiry
from bulrushrudder.membership import software_expiry
from bulrushrudder.membership import tracker
from bulrushrudder.observers import leases
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import log_messages
from bulrushrudder.protocol import messages
from bulrushrudder.protocol import status_messages
from bulrushrudder.protocol import stream_messages
from bulrushrudder.state import documents
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.state import suspect_parts
from bulrushrudder.utils import tasks

TICK_INTERVAL_S = 0.5
PAUSE_WATCH_INTERVAL_S = 0.2
FORWARD_TIMEOUT_S = 3.0
STOPPING = 'the control process is stopping; the change had no effect'


class ControlProcess:
    """The control process without its listeners.

    :param make_node: function that returns the Node; its argument is a
        function to call after each batch of committed commands.
    :param peers: the Peers, with links to other processes.
    :ivar peers: the Peers.
    :ivar stopping: whether new proposals of other processes are refused.
    """

    def __init__(self, make_node, peers):
        self.stopping = False
        self.node = make_node(self._on_committed)
        self.peers = peers
        self._log_feed = log_feed.LogFeed(self.node)
        self._leases = leases.Leases()
        self._tracker = tracker.Tracker()
        self._suspect_expiry = suspect_expiry.SuspectExpiry()
        self._software_expiry = software_expiry.SoftwareExpiry()
        self._streams = stream_registry.StreamRegistry(self.node, peers)
        self._was_leader = False
        self._pauses = pauses.PauseWatch()

    async def handle(self, link, message):
        """Handle a message of another process.

        :returns: the reply, or None.
        """
        match message:
            case log_messages.Observe(index=index):
                await self._log_feed.serve(link, index)
            case log_messages.FreshnessRequest(round=number, index=index):
                self._leases.record_contact(link.peer, index, _now_s())
                await self._confirm_view(link, number)
            case log_messages.Propose(command=data):
                outcome = results.Unavailable(STOPPING)
                if not self.stopping:
                    outcome = await self._propose(data)
                return log_messages.Proposed(codec.encode(outcome))
            case log_messages.Announce():
                noted = await self.announce(message)
                return (
                    messages.Acknowledged()
                    if noted
                    else log_messages.NotLeader()
                )
            case stream_messages.RecordStreams():
                self._streams.record(message)
            case stream_messages.FindStream():
                return await self._streams.find(message)
            case status_messages.StatusRequest():
                return self._own_status() or log_messages.NotLeader()
            case log_messages.Forward() | log_messages.ReadIndexRequest():
                return await self._handle_as_leader(message)
            case log_messages.ReportObservers(observers=observers):
                self._record_observers(observers)
            case _ if isinstance(message, consensus_messages.Message):
                self.node.receive(message)
        return None

    async def run(self):
        """Expire the leases of servers and sessions until cancelled.

        A process that does not lead reports its observers to the leader.
        """
        async with contextlib.AsyncExitStack() as stack:
            tasks.spawn(stack, self._watch_pauses())
            while True:
                await asyncio.sleep(TICK_INTERVAL_S)
                await self.check()

    async def check(self):
        """Expire leases as leader, or report observers to the leader."""
        # A message without an open link is dropped. The first one of a new
        # leader would then be repeated only a second later.
        for address in self.node.other_addresses():
            self.peers.keep_open(address)
        if self.node.is_ready_leader:
            await self._tick_as_leader()
        else:
            self._was_leader = False
            self._report_observers()

    async def _watch_pauses(self):
        while True:
            self.observe_time()
            await asyncio.sleep(PAUSE_WATCH_INTERVAL_S)

    def observe_time(self):
        """Renew all leases if this process was paused until now.

        Neither sessions nor servers have been silent then; nobody has
        listened to them.

        :returns: the present time in seconds.
        """
        now_s = _now_s()
        if self._pauses.observe(now_s):
            self._leases.renew_all(now_s)
            self._tracker.renew_all(now_s)
        return now_s

    async def status(self):
        """Return the leader's Status.

        :returns: None if no leader can be reached.
        """
        if await self.node.read_index() is None:
            return None
        own_status = self._own_status()
        address = self.node.leader_address
        if own_status is not None or address is None:
            return own_status
        answer = await self.peers.ask(
            address, status_messages.StatusRequest(), FORWARD_TIMEOUT_S
        )
        match answer:
            case result.Success(status_messages.Status() as leader_status):
                return leader_status
        return None

    def is_observer(self, link):
        """Return whether the process at the other end follows the log."""
        return self._log_feed.has(link)

    def _own_status(self):
        if not self.node.is_ready_leader:
            return None
        return status.leader_status(self.node, self._leases, _now_s())

    def _on_committed(self):
        self._log_feed.send_all()

    async def _confirm_view(self, link, number):
        index = await self.node.read_index()
        if index is not None:
            link.send(log_messages.FreshnessResponse(number, index))

    async def _handle_as_leader(self, message):
        """Answer a control process that sees this one as the leader."""
        match message:
            case log_messages.Forward(command=data):
                outcome = await self.node.propose_as_leader(data)
                if outcome is not None:
                    return log_messages.Proposed(codec.encode(outcome))
            case log_messages.ReadIndexRequest():
                index = await self.node.read_index_as_leader()
                if index is not None:
                    return log_messages.ReadIndexResponse(index)
        return log_messages.NotLeader()

    async def _tick_as_leader(self):
        self._take_over()
        await self._expire_servers()
        await self._advance_suspects()
        await self._forget_softwares()
        by_vm = self.node.state.sessions.by_vm
        for command in self._leases.expire(by_vm, self.observe_time()):
            if await self._commit_as_leader(command):
                log.emit(catalogue.SESSION_EXPIRED, vm=command.owner.vm)

    def _take_over(self):
        """Start to track servers and sessions if this process leads anew."""
        if self._was_leader:
            return
        self._was_leader = True
        self._leases.renew_all(_now_s())
        self._tracker = tracker.Tracker(
            self.node.state.servers.exclusions_by_id.values(), _now_s()
        )
        self._suspect_expiry = suspect_expiry.SuspectExpiry()
        self._software_expiry = software_expiry.SoftwareExpiry()

    async def _expire_servers(self):
        servers_by_id = self.node.state.servers.by_id
        actions = self._tracker.handle(
            tracker.Ticked(), servers_by_id, self.observe_time()
        )
        for action in actions:
            if await self._commit_as_leader(action.command):
                server_log.log_change(action.command, 'silent')

    async def _commit_as_leader(self, command):
        """Commit what this process has decided as the leader.

        Unlike other proposals, it is not forwarded to a successor: that
        one has heard more.

        :returns: whether it was accepted.
        """
        data = codec.encode(command)
        outcome = await self.node.propose_as_leader(data)
        return isinstance(outcome, results.Accepted)

    async def _forget_softwares(self):
        """Forget software versions that have had no server for long."""
        absent = self.node.state.servers.absent_softwares()
        for model, software in self._software_expiry.due(absent, _now_s()):
            await self._commit_as_leader(
                servers.ForgetSoftware(model, software)
            )

    async def _advance_suspects(self):
        """Forget suspect prompt parts, and try quarantined ones."""
        suspects = self.node.state.suspect_parts
        due = self._suspect_expiry.due(suspects.by_part, _now_s())
        if due.forgotten:
            parts = ','.join(due.forgotten)
            log.emit(catalogue.SUSPECTS_FORGOTTEN, parts=parts)
            await self._commit_as_leader(
                suspect_parts.ClearParts(due.forgotten)
            )
        if due.tried:
            log.emit(catalogue.PARTS_TRIED, parts=','.join(due.tried))
            await self._commit_as_leader(suspect_parts.TryParts(due.tried))

    def _report_observers(self):
        """Report the observers of this process to the leader."""
        address = self.node.leader_address
        now_s = _now_s()
        contacts = tuple(
            log_messages.ObserverContact(
                owner, contact.index, now_s - contact.heard_s
            )
            for owner, contact in self._leases.contacts_by_owner.items()
            if now_s - contact.heard_s < leases.SESSION_LEASE_S
        )
        if address is not None and contacts:
            self.peers.send_or_drop(
                address, log_messages.ReportObservers(contacts)
            )

    def _record_observers(self, observers):
        now_s = _now_s()
        for observer in observers:
            self._leases.record_contact(
                observer.owner, observer.index, now_s - observer.age_s
            )

    async def _propose(self, data):
        match codec.decode(data):
            case result.Success(command):
                return await self.node.propose(command)
            case result.Failure(error):
                return results.Rejected(error.problem)

    async def adopt_document(self, document, source, digest, operator):
        """Put a document in force in production, without a trial.

        :returns: the Outcome.
        """
        command = documents.AdoptDocument(document, source, digest, operator)
        return await self.node.propose(command)

    def kind_change_s(self, model):
        """Return the seconds that a server takes to change its kind.

        :param model: the model of its pool.
        """
        table = self.node.state.documents.lookups(types.Environment.PRODUCTION)
        service = table.services_by_id.get(model)
        if service is None or service.engine is None:
            return 0.0
        return service.engine.change_s

    async def exclude(self, server, until_s):
        """Remove a server from new work, whatever it announces.

        :param until_s: monotonic seconds until which it is excluded.
        """
        self._tracker.exclude(server.id, until_s)
        lose = servers.LoseServer(
            server.id, server.incarnation, until_s - _now_s(), server.kind
        )
        if await self._commit_as_leader(lose):
            server_log.log_change(lose, 'set aside')

    def readmit(self, server):
        """Let an excluded server join again with its next announcement."""
        self._tracker.readmit(server.id)

    async def announce(self, message):
        """Handle an announcement of a server, on the leader.

        :param message: an Announce message.
        :returns: whether the leader handled it and committed all
            resulting changes.
        """
        address = self.node.leader_address
        if address is not None:
            answer = await self.peers.ask(address, message, FORWARD_TIMEOUT_S)
            return answer == result.Success(messages.Acknowledged())
        if not self.node.is_ready_leader:
            return False
        self._take_over()
        match codec.decode(message.server):
            case result.Success(servers.JoinServer(server=server)):
                if message.leaving:
                    return await self._leave(server.id, server.incarnation)
                event = tracker.Announced(server, False, message.sequence)
                return await self._track(event)
            case result.Success(
                servers.LeaveServer(id=server_id, incarnation=incarnation)
            ):
                return await self._leave(server_id, incarnation)
        return False

    async def _leave(self, server_id, incarnation):
        """Commit that a server left, also if it is absent now.

        :param incarnation: LATEST_INCARNATION for the latest one known.
        :returns: whether this incarnation cannot join again.
        """
        table = self.node.state.servers
        if incarnation == log_messages.LATEST_INCARNATION:
            incarnation = max(table.latest_incarnation(server_id), 0)
        if not table.has_departed(server_id, incarnation):
            await self._track(tracker.Departed(server_id, incarnation))
        return table.has_departed(server_id, incarnation)

    async def _track(self, event):
        """Commit the changes that result from an event.

        :returns: whether all of them were committed or rejected.
        """
        servers_by_id = self.node.state.servers.by_id
        actions = self._tracker.handle(event, servers_by_id, _now_s())
        committed = True
        for action in actions:
            known = server_log.find_known(action.command, servers_by_id)
            outcome = await self.node.propose(action.command)
            match outcome:
                case results.Unavailable():
                    committed = False
                case results.Accepted():
                    server_log.log_change(action.command, 'silent', known)
        return committed


def _now_s():
    return asyncio.get_running_loop().time()
