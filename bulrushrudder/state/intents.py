"""Calls that run at most once: what was begun and how it ended.

The id of a call that may have run is never dropped. Time passes only by
committed steps, each no longer than what its proposer measured since it
saw the clock before.
"""

import dataclasses
import enum

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.state import results

MAX_STORED_ANSWER_BYTES = 16 * 1024 * 1024
FULL = 'the register of the client account is full'


class Phase(enum.Enum):
    """How far a call has come.

    OPEN: it may be sent; ANSWERED: it ran; UNKNOWN: it may have run;
    WITHDRAWN: nothing was sent; EXPIRED: it began longer ago than the
    retention, and nothing but its id is kept.
    """

    OPEN = 'open'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    WITHDRAWN = 'withdrawn'
    EXPIRED = 'expired'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer as it is replayed.

    :param headers: pairs of name and value, one after the other.
    """

    status: int
    headers: tuple[str, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The one process and try that may send a call.

    :param number: counts the tries of the process.
    """

    owner: ids.Owner
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class IntentKey:
    """Names a call over the fleet.

    :param id: what the caller sent to tell its calls apart.
    """

    environment: types.Environment
    account: ids.AccountId
    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """A call in the register.

    :param fingerprint: digest of method, path and body.
    :param expires_s: register time at which the answer is dropped.
    :param answer: None while there is none or where it is too large.
    """

    key: IntentKey
    fingerprint: str
    dispatch: Dispatch
    phase: Phase
    expires_s: float
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OpenIntent:
    """Put a call in the register before it is sent.

    :param retention_s: seconds that its answer is kept.
    :param max_entries: ids that the account may hold.
    """

    key: IntentKey
    fingerprint: str
    dispatch: Dispatch
    retention_s: float
    max_entries: int


@dataclasses.dataclass(frozen=True, slots=True)
class CloseIntent:
    """Say how a call ended.

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
    """Move the register's clock.

    :param base_s: the clock that the proposer saw.
    :param step_s: seconds that surely passed since.
    """

    base_s: float
    step_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class IntentsSnapshot:
    """The whole register."""

    clock_s: float
    intents: tuple[Intent, ...]


class Intents:
    """The calls of each account.

    :ivar by_key: calls by their key.
    :ivar clock_s: seconds that have surely passed.
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
        """Return the register as a data class."""
        return IntentsSnapshot(self.clock_s, tuple(self.by_key.values()))

    def restore(self, snapshot):
        """Take the register of a snapshot."""
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
            return results.Rejected('the call has ended')
        if known is not None and known.phase is not Phase.WITHDRAWN:
            return results.Rejected('the id is known')
        self._put(self._new_intent(command, Phase.OPEN, None))
        return results.Accepted(index)

    def _close(self, index, command):
        known = self.by_key.get(command.key)
        if known is None:
            return self._close_unopened(index, command)
        if known.dispatch != command.dispatch:
            return results.Rejected('another try is in the register')
        if known.phase is command.phase:
            return results.Accepted(index, repeated=True)
        if known.phase is not Phase.OPEN:
            return results.Rejected('the call has ended')
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
            return results.Rejected('the clock is another')
        self.clock_s += command.step_s
        for intent in tuple(self.by_key.values()):
            if intent.expires_s <= self.clock_s:
                self._expire(intent)
        return results.Accepted(index)

    def _expire(self, intent):
        """Drop the answer of a call, or all of one that never ran."""
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
