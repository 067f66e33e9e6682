"""Simulation of processes that grant tokens, in virtual time.

Packets between the processes stay queued until a test delivers,
duplicates or drops them.
"""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import ranking
from bulrushrudder.documents import differences
from bulrushrudder.documents import types
from bulrushrudder.limits import actions
from bulrushrudder.limits import authority
from bulrushrudder.limits import events
from bulrushrudder.limits import slices
from bulrushrudder.observers import view
from bulrushrudder.state import documents as state_documents
from bulrushrudder.state import machine
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import documents
from bulrushrudder.tests.builders import fleet

ENVIRONMENT = types.Environment.TRIAL
TOLERANCE_TOKENS = 1e-6
# The time of day is wrong by this much at most.
WRONG_CLOCK_S = 8


@dataclasses.dataclass(frozen=True)
class Packet:
    """A message in flight.

    :param target: the receiving VM, or None for a command to the log.
    """

    target: str | None
    content: object


class Oracle:
    """A reference token bucket, charged for all grants of the fleet.

    The bucket of an account that was never used is full, also after a
    change of its burst.
    """

    def __init__(self):
        self.rate = 0.0
        self.burst = 0.0
        self.level = None
        self.updated_s = 0.0
        self.used = False

    def set_limits(self, rate, burst, now_s):
        self.advance(now_s)
        self.level = min(self.level, burst) if self.used else burst
        self.rate = rate
        self.burst = burst

    def advance(self, now_s):
        if self.level is not None:
            refilled = self.level + (now_s - self.updated_s) * self.rate
            self.level = min(self.burst, refilled)
        self.updated_s = now_s

    def take(self, tokens, now_s):
        self.advance(now_s)
        self.used = True
        self.level -= tokens
        if self.level < -TOLERANCE_TOKENS:
            raise AssertionError(
                f'{-self.level} tokens granted over the limit'
            )

    def credit(self, tokens, now_s):
        self.advance(now_s)
        self.level = min(self.burst, self.level + tokens)


class Process:
    """An entry process without its I/O.

    :ivar pending_requests: by id, the event of each unanswered token
        request and the seconds of its clock at which it was sent.
    :ivar cut: whether the process can neither send nor receive.
    :ivar paused: whether the process is suspended.
    :ivar lag_s: seconds by which its clock is behind true time.
    :ivar pending_round: number and log index of its open confirmation round.
    """

    def __init__(self, owner, max_preclaimed=0):
        self.owner = owner
        self.view = view.View(ENVIRONMENT)
        self.authority = authority.Authority(owner, max_preclaimed)
        self.slices = slices.Slices()
        self.pending_requests = {}
        self.charges = []
        self.cut = False
        self.paused = False
        self.lag_s = 0.0
        self.pending_round = None

    @property
    def name(self):
        return self.owner.vm

    def log_view(self):
        return authority.LogView(
            ENVIRONMENT,
            self.view.confirmed_s,
            self.view.state.accounts.by_key,
            self.view.lookups.accounts_by_id,
            tuple(self.view.state.sessions.hosts_by_vm),
        )


class Fleet:
    """Processes, a log, packets in flight and the oracle.

    :ivar granted: tokens of each grant, by token request and epoch.
    :ivar counted_refunds: token request, epoch and number of the refunds
        that the oracle was credited with.
    """

    def __init__(
        self, vms=3, rate=10.0, burst=100, account='acme', max_preclaimed=0
    ):
        self._max_preclaimed = max_preclaimed
        self.now_s = 1000.0
        self.account = ids.AccountId(account)
        self.state = machine.State()
        self.commands = []
        self.packets = []
        self.oracle = Oracle()
        self.by_vm = {}
        self.refused = []
        self.granted = {}
        self.counted_refunds = set()
        self.waited = 0
        self.starts = 0
        self.last_request_number = 0
        self.set_limits(rate, burst)
        for number in range(vms):
            self.start(f'vm{number}')
        for process in self.by_vm.values():
            self.sync(process)

    def commit(self, command):
        self.commands.append(command)
        return self.state.apply(len(self.commands), command)

    def set_limits(self, rate, burst):
        base = self.state.documents.in_force(ENVIRONMENT)
        version = base.version + 1
        account = documents.account(self.account, rate, burst)
        document = documents.document(version, accounts=(account,))
        self.commit(
            state_documents.SubmitDocument(
                base_version=base.version,
                base_digest=f'd{base.version}' if base.version else '',
                difference=differences.between(base, document),
                digest=f'd{version}',
                operator='ana',
            )
        )

    def start(self, vm, clock_step_s=0, delayed=False):
        """Start a process, which ends the one that its VM ran before.

        :param clock_step_s: seconds by which the time of day is wrong.
        :param delayed: whether its session is opened by a packet.
        """
        self.starts += 1
        # Starts are a second apart; the last digits keep them distinct.
        incarnation = (
            self.starts + WRONG_CLOCK_S + clock_step_s
        ) * 1000 + self.starts
        self.by_vm[vm] = Process(
            fleet.owner(vm, incarnation), self._max_preclaimed
        )
        self.catch_up(self.by_vm[vm])
        sessions_seen = self.by_vm[vm].view.state.sessions
        opening = self.opening(vm, sessions_seen.incarnation(vm))
        if delayed:
            self.packets.append(Packet(None, opening))
        else:
            self.commit(opening)

    def opening(self, vm, replaces=0, hosts_roles=True):
        """Return the command that opens the session of a VM's process."""
        process = self.by_vm[vm]
        return sessions.OpenSession(
            process.owner,
            ids.Zone('a'),
            '127.0.0.1',
            1,
            hosts_roles,
            replaces=replaces,
            seen_index=process.view.index,
        )

    def open_session(self, vm):
        self.commit(self.opening(vm))

    def leave(self, vm):
        """Let a VM host no roles any more."""
        self.commit(self.opening(vm, hosts_roles=False))

    def close_session(self, vm):
        self.commit(sessions.CloseSession(self.by_vm[vm].owner))

    def clock_s(self, process):
        """Return the time by the clock of a process."""
        return self.now_s - process.lag_s

    def begin_round(self, process):
        number = process.view.begin_round(self.clock_s(process))
        process.pending_round = number, len(self.commands)

    def end_round(self, process):
        if process.pending_round is None or process.cut or process.paused:
            return
        number, index = process.pending_round
        self.catch_up(process)
        process.view.confirm_round(number, index)
        process.pending_round = None
        self._update_oracle_limits()

    def catch_up(self, process):
        for index in range(process.view.index, len(self.commands)):
            process.view.apply(index + 1, self.commands[index])

    def sync(self, process):
        if process.cut or process.paused:
            return
        self.begin_round(process)
        self.end_round(process)

    def _update_oracle_limits(self):
        """Set the oracle to the highest limits in any fresh view."""
        limits = [
            process.view.lookups.accounts_by_id[self.account]
            for process in self.by_vm.values()
            if process.view.age_s(self.now_s) < 10.0
        ]
        if limits:
            rate = max(account.rate for account in limits)
            burst = max(account.burst for account in limits)
            self.oracle.set_limits(rate, burst, self.now_s)

    def spendable(self):
        """Return the tokens that all processes together could grant now."""
        processes = self.by_vm.values()
        return sum(
            process.authority.spendable(
                self.account, process.log_view(), self.clock_s(process)
            )
            + process.slices.left(self.account, self.clock_s(process))
            for process in processes
        )

    def check(self):
        """Raise if the fleet could grant more than the bucket's level."""
        self._update_oracle_limits()
        self.oracle.advance(self.now_s)
        excess = self.spendable() - self.oracle.level
        if excess > TOLERANCE_TOKENS:
            raise AssertionError(
                f'the fleet can grant {excess} tokens over the limit'
            )

    def advance(self, seconds, step_s=0.25):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + step_s)
            for process in tuple(self.by_vm.values()):
                self.sync(process)
                self.tick(process)

    def tick(self, process):
        self._update_oracle_limits()
        if process.paused:
            return
        accounts_by_id = process.view.lookups.accounts_by_id
        now_s = self.clock_s(process)
        for refund in process.slices.sweep(accounts_by_id, now_s):
            self._send_refund(process, refund)
        self.handle(process, events.Ticked())

    def ask(self, process, tokens, patience_s=5.0):
        """Ask for the tokens of a request.

        :returns: the id of the token request, or None if none is sent: a
            slice has the tokens, or the process cannot ask.
        """
        now_s = self.clock_s(process)
        if process.paused or not process.view.is_fresh(now_s):
            return None
        account = process.view.lookups.accounts_by_id[self.account]
        charge = process.slices.take(account, tokens, now_s)
        if charge is not None:
            self.oracle.take(tokens, self.now_s)
            process.charges.append(charge)
            return None
        self.last_request_number += 1
        token_request = ids.TokenRequestId(
            process.owner, self.last_request_number
        )
        event = events.TokensRequested(
            token_request,
            self.account,
            tokens,
            process.slices.slice_tokens_wanted(self.account, tokens, now_s),
            self.now_s + patience_s,
        )
        process.pending_requests[token_request] = event, now_s
        self.send_to_authority(process, event)
        return token_request

    def send_to_authority(self, process, event):
        vms = tuple(process.view.state.sessions.hosts_by_vm)
        target = ranking.choose(authority.role(self.account), vms)
        if target is not None:
            self.packets.append(Packet(target, event))

    def withdraw(self, process, token_request):
        process.pending_requests.pop(token_request, None)
        event = events.TokenRequestWithdrawn(token_request, self.account)
        self.send_to_authority(process, event)

    def refund(self, process, charge, tokens):
        """Refund the unused tokens of a request that has ended."""
        process.charges.remove(charge)
        now_s = self.clock_s(process)
        refund = process.slices.refund(charge, tokens, now_s)
        if refund is None:
            self.oracle.credit(tokens, self.now_s)
            return
        self._send_refund(process, refund)

    def deliver(self, packet):
        if packet.target is None:
            self.commit(packet.content)
            return
        process = self.by_vm.get(packet.target)
        if process is None or process.paused or process.cut:
            return
        match packet.content:
            case actions.Grant():
                self._receive_grant(process, packet.content)
            case actions.Refuse(token_request=token_request):
                if process.pending_requests.pop(token_request, None):
                    self.refused.append(packet.content)
            case actions.Redirect(token_request=token_request):
                if token_request in process.pending_requests:
                    self.send_to_authority(
                        process, process.pending_requests[token_request][0]
                    )
            case events.TokensRefunded():
                self._credit_returned(process, packet.content)
                self.handle(process, packet.content)
            case events.TokenRequestWithdrawn(token_request=token_request):
                self._credit_withdrawn(token_request)
                self.handle(process, packet.content)
            case _:
                self.handle(process, packet.content)

    def handle(self, process, event):
        found = process.authority.handle(
            event, process.log_view(), self.clock_s(process)
        )
        for action in found:
            match action:
                case actions.Propose(command=command):
                    if not process.cut:
                        self.packets.append(Packet(None, command))
                case actions.Grant():
                    self._count_grant(action)
                    self._send(process, action)
                case _:
                    self._send(process, action)

    def _send(self, process, action):
        if not process.cut:
            self.packets.append(Packet(action.token_request.owner.vm, action))

    def _count_grant(self, grant):
        if (grant.token_request, grant.epoch) in self.granted:
            return
        self.granted[grant.token_request, grant.epoch] = grant.tokens
        self.oracle.take(grant.tokens, self.now_s)

    def _credit_returned(self, process, event):
        """Credit a refund once.

        Only the epoch that granted the tokens accepts their refund.
        """
        key = (event.token_request, event.epoch, event.number)
        account = self.state.accounts.by_key[ENVIRONMENT, self.account]
        is_holder = (
            account.holder == process.owner and account.epoch == event.epoch
        )
        if event.closes or not is_holder or key in self.counted_refunds:
            return
        self.counted_refunds.add(key)
        self.oracle.credit(event.tokens, self.now_s)

    def _credit_withdrawn(self, token_request):
        for granted in tuple(self.granted):
            if granted[0] == token_request:
                tokens = self.granted.pop(granted)
                self.oracle.credit(tokens, self.now_s)

    def _receive_grant(self, process, grant):
        pending = process.pending_requests.get(grant.token_request)
        if pending is None or grant.token_request.owner != process.owner:
            return
        event, requested_s = process.pending_requests.pop(grant.token_request)
        if self.now_s > event.deadline_s:
            self.withdraw(process, grant.token_request)
            return
        process.charges.append(
            slices.Charge(
                grant.account,
                grant.epoch,
                grant.token_request,
                grant.tokens,
                False,
            )
        )
        if grant.slice_tokens:
            for refund in process.slices.put(grant, requested_s):
                self._send_refund(process, refund)

    def _send_refund(self, process, refund):
        event = events.TokensRefunded(
            refund.token_request,
            refund.account,
            refund.epoch,
            refund.number,
            refund.tokens,
            refund.closes,
        )
        if not process.cut:
            self.send_to_authority(process, event)
