"""The register of calls that run at most once.

A call is registered before it is sent, and closed with its outcome. The
id of a call that may have run is never removed. The register has its own
clock, which advances only by committed steps; no step is longer than the
time its proposer measured since the previous step.
"""

import dataclasses
import enum

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.state import results

# Limit on all stored answers together; further answers are not stored.
MAX_STORED_ANSWER_BYTES = 16 * 1024 * 1024
FULL = 'the register of the client account is full'


class Phase(enum.Enum):
    """The phase of a registered call.

    OPEN: it may be sent; ANSWERED: it ran; UNKNOWN: it may have run;
    WITHDRAWN: it was not sent; EXPIRED: it may have run, but its
    retention time is over and its answer was deleted.
    """

    OPEN = 'open'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    WITHDRAWN = 'withdrawn'
    EXPIRED = 'expired'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A stored answer, to be replayed.

    :param headers: names and values in turn, as a flat sequence.
    """

    status: int
    headers: tuple[str, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The process and attempt that may send a call.

    :param number: sequence number of the attempt in its process.
    """

    owner: ids.Owner
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class IntentKey:
    """Identifies a call in the whole fleet.

    :param id: the id that the caller gave the call.
    """

    environment: types.Environment
    account: ids.AccountId
    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """A registered call.

    :param fingerprint: digest of method, path and body.
    :param expires_s: register time at which the answer is deleted.
    :param answer: None before the answer, or if it is too large to keep.
    """

    key: IntentKey
    fingerprint: str
    dispatch: Dispatch
    phase: Phase
    expires_s: float
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OpenIntent:
    """Register a call before it is sent.

    :param retention_s: seconds for which its answer is kept.
    :param max_entries: maximum number of ids of the account.
    """

    key: IntentKey
    fingerprint: str
    dispatch: Dispatch
    retention_s: float
    max_entries: int


@dataclasses.dataclass(frozen=True, slots=True)
class CloseIntent:
    """Record the outcome of a call.

    :param phase: ANSWERED, UNKNOWN or WITHDRAWN.
    """

    key: IntentKey
    fingerprint: str
    dispatch: Dispatch
    phase: Phase
    retention_s: float
    max_entries: int
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AdvanceClock:
    """Advance the register's clock.

    :param base_s: register time that the proposer saw.
    :param step_s: seconds that have passed since, at least.
    """

    base_s: float
    step_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class IntentsSnapshot:
    """The clock and all calls of the register."""

    clock_s: float
    intents: tuple[Intent, ...]


class Intents:
    """The registered calls of all accounts.

    :ivar by_key: Intents by IntentKey.
    :ivar clock_s: register time in seconds; it never runs faster than
        real time.
    """

    def __init__(self):
        self.clock_s = 0.0
        self.by_key: dict[IntentKey, Intent] = {}
        self._counts_by_account = {}
        self._stored_answer_bytes = 0

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        match command:
            case OpenIntent():
                return self._open(index, command)
            case CloseIntent():
                return self._close(index, command)
            case AdvanceClock():
                return self._advance_clock(index, command)
        raise AssertionError(f'unknown command {command!r}')

    def snapshot(self):
        """Return the register as an IntentsSnapshot."""
        return IntentsSnapshot(self.clock_s, tuple(self.by_key.values()))

    def restore(self, snapshot):
        """Replace the register by an IntentsSnapshot."""
        self.__init__()
        self.clock_s = snapshot.clock_s
        for intent in snapshot.intents:
            self._put(intent)

    def _open(self, index, command):
        known = self.by_key.get(command.key)
        if known is None and self._is_full(command):
            return results.Rejected(FULL)
        if known is not None and known.dispatch == command.dispatch:
            repeated = known.phase is Phase.OPEN
            if repeated:
                return results.Accepted(index, repeated=True)
            return results.Rejected(f'the call has ended: {known.phase.value}')
        if known is not None and known.phase is not Phase.WITHDRAWN:
            return results.Rejected(
                f'the id is registered already: {known.phase.value}'
            )
        self._put(self._new_intent(command, Phase.OPEN, None))
        return results.Accepted(index)

    def _close(self, index, command):
        known = self.by_key.get(command.key)
        if known is None:
            return self._close_unopened(index, command)
        if known.dispatch != command.dispatch:
            return results.Rejected(
                'another attempt of the call is in the register'
            )
        if known.phase is command.phase:
            return results.Accepted(index, repeated=True)
        if known.phase is not Phase.OPEN:
            return results.Rejected(f'the call has ended: {known.phase.value}')
        answer = command.answer
        if self._stored_answer_bytes + _size(answer) > MAX_STORED_ANSWER_BYTES:
            answer = None
        self._put(self._new_intent(command, command.phase, answer))
        return results.Accepted(index)

    def _close_unopened(self, index, command):
        if command.phase is not Phase.WITHDRAWN or self._is_full(command):
            return results.Rejected('the call is not in the register')
        self._put(self._new_intent(command, Phase.WITHDRAWN, None))
        return results.Accepted(index)

    def _advance_clock(self, index, command):
        if command.base_s != self.clock_s or command.step_s < 0:
            return results.Rejected(
                f'step of {command.step_s} s from {command.base_s} s does '
                f'not fit the clock, which is at {self.clock_s} s'
            )
        self.clock_s += command.step_s
        for intent in tuple(self.by_key.values()):
            if intent.expires_s <= self.clock_s:
                self._expire(intent)
        return results.Accepted(index)

    def _expire(self, intent):
        """Delete the answer of a call, or the call if it never ran."""
        match intent.phase:
            case Phase.ANSWERED | Phase.UNKNOWN:
                self._put(
                    dataclasses.replace(
                        intent, phase=Phase.EXPIRED, answer=None
                    )
                )
            case Phase.WITHDRAWN:
                del self.by_key[intent.key]
                self._add_to_count(intent.key, -1)

    def _new_intent(self, command, phase, answer):
        return Intent(
            command.key,
            command.fingerprint,
            command.dispatch,
            phase,
            self.clock_s + command.retention_s,
            answer,
        )

    def _is_full(self, command):
        key = command.key
        count = self._counts_by_account.get((key.environment, key.account), 0)
        return count >= command.max_entries

    def _add_to_count(self, key, change):
        account = (key.environment, key.account)
        count = self._counts_by_account.get(account, 0)
        self._counts_by_account[account] = count + change

    def _put(self, intent):
        key = intent.key
        known = self.by_key.get(key)
        if known is None:
            self._add_to_count(key, 1)
        else:
            self._stored_answer_bytes -= _size(known.answer)
        self._stored_answer_bytes += _size(intent.answer)
        self.by_key[key] = intent


def _size(answer):
    if answer is None:
        return 0
    return len(answer.body) + sum(map(len, answer.headers))
