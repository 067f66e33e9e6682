"""What an entry process knows of the log, and whether it is fresh."""

import dataclasses

from bulrushrudder.documents import lookups
from bulrushrudder.state import machine

FRESHNESS_BOUND_S = 3.0
MS_PER_SECOND = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessRound:
    """A question for freshness that is under way."""

    number: int
    sent_s: float


class View:
    """The observed state; its index never goes back.

    :param environment: whose document the VM serves.
    :param bound_s: seconds without a voucher for the view after which
        keyed routes are refused.
    """

    def __init__(self, environment, bound_s=FRESHNESS_BOUND_S):
        self.state = machine.State()
        self.lookups = lookups.EMPTY_LOOKUPS
        self._environment = environment
        self._bound_s = bound_s
        self._rounds_by_number = {}
        self._last_round_number = 0
        self._confirmed_s = None

    @property
    def index(self):
        """Return the index up to which the log is known."""
        return self.state.index

    def apply(self, index, command):
        """Apply a command of the log.

        :param command: None where the place in the log holds none.
        :returns: whether it was new; earlier ones are left out.
        """
        if index <= self.state.index:
            return False
        if index != self.state.index + 1:
            raise AssertionError(f'gap before index {index}')
        if command is None:
            self.state.pass_over(index)
        else:
            self.state.apply(index, command)
        self._update_lookups()
        return True

    def restore(self, snapshot):
        """Take the whole state, unless the view is past it.

        :param snapshot: a StateSnapshot.
        :returns: whether it was new.
        """
        if snapshot.index <= self.state.index:
            return False
        self.state.restore(snapshot)
        self._update_lookups()
        return True

    def _update_lookups(self):
        self.lookups = self.state.documents.lookups(self._environment)

    def begin_round(self, now_s):
        """Note that a question for freshness is sent.

        :returns: the number of the round.
        """
        self._last_round_number += 1
        number = self._last_round_number
        self._rounds_by_number[number] = FreshnessRound(number, now_s)
        return number

    def vouched(self, number, index):
        """Take note of the answer to a question for freshness.

        Freshness counts from when the question was sent.
        """
        freshness_round = self._rounds_by_number.pop(number, None)
        if freshness_round is None or index > self.state.index:
            return
        self._rounds_by_number = {
            n: r for n, r in self._rounds_by_number.items() if n > number
        }
        if (
            self._confirmed_s is None
            or freshness_round.sent_s > self._confirmed_s
        ):
            self._confirmed_s = freshness_round.sent_s

    @property
    def vouched_s(self):
        """Return when the view was surely current, or None."""
        return self._confirmed_s

    def age_s(self, now_s):
        """Return seconds since the view was known to be current."""
        if self._confirmed_s is None:
            return float('inf')
        return now_s - self._confirmed_s

    def age_ms(self, now_s):
        """Return the age in milliseconds; None before the first voucher."""
        if self._confirmed_s is None:
            return None
        return round(self.age_s(now_s) * MS_PER_SECOND)

    def fresh(self, now_s):
        """Return whether keyed routes may be served."""
        return self.age_s(now_s) <= self._bound_s
