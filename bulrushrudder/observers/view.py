"""An entry process's view of the log and the freshness of that view."""

import dataclasses

from bulrushrudder.core import units
from bulrushrudder.documents import lookups
from bulrushrudder.state import machine

FRESHNESS_BOUND_S = 3.0
# A process that runs observes the time several times in this period.
MIN_PAUSE_S = 1.0
# Time in which a process that was paused, or has just started, reaches a
# control process with a quorum, if its VM can: two attempts of which the
# first finds none.
CONTACT_WAIT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessRound:
    """A freshness check that is under way."""

    number: int
    sent_s: float


class View:
    """The replicated state as observed; its index never decreases.

    :param environment: environment whose document the VM serves.
    :param bound_s: seconds without a confirmation of the view after
        which keyed routes are refused.
    :ivar state: the State up to the index.
    :ivar lookups: the Lookups of the document in force.
    """

    def __init__(self, environment, bound_s=FRESHNESS_BOUND_S):
        self.state = machine.State()
        self.lookups = lookups.EMPTY_LOOKUPS
        self._environment = environment
        self._bound_s = bound_s
        self._rounds_by_number = {}
        self._last_round_number = 0
        self._confirmed_s = None
        self._ran_s = None
        self._resumed_s = None

    @property
    def index(self):
        """Return the index up to which the log is applied."""
        return self.state.index

    def apply(self, index, command):
        """Apply an entry of the log.

        :param command: the command, or None if the entry has none.
        :returns: whether the entry was new; known ones are ignored.
        :raises AssertionError: if entries before it are missing.
        """
        if index <= self.state.index:
            return False
        if index != self.state.index + 1:
            raise AssertionError(
                f'gap before entry {index}: view is at {self.state.index}'
            )
        if command is None:
            self.state.skip_index(index)
        else:
            self.state.apply(index, command)
        self._update_lookups()
        return True

    def restore(self, snapshot):
        """Replace the state by a snapshot, unless the view is newer.

        :param snapshot: a StateSnapshot.
        :returns: whether the state was replaced.
        """
        if snapshot.index <= self.state.index:
            return False
        self.state.restore(snapshot)
        self._update_lookups()
        return True

    def _update_lookups(self):
        self.lookups = self.state.documents.lookups(self._environment)

    def begin_round(self, now_s):
        """Start a freshness check.

        :returns: the number of the round, which the answer repeats.
        """
        self._last_round_number += 1
        number = self._last_round_number
        self._rounds_by_number[number] = FreshnessRound(number, now_s)
        return number

    def confirm_round(self, number, index):
        """Handle the answer to a freshness check.

        The view is confirmed as of when the check was sent, if it has
        reached the index that was current then.

        :param number: the number of the round.
        :param index: commit index at some time after the check was sent.
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
    def confirmed_s(self):
        """Return when the view was last known to be current, or None."""
        return self._confirmed_s

    def age_s(self, now_s):
        """Return the seconds since the view was known to be current."""
        if self._confirmed_s is None:
            return float('inf')
        return now_s - self._confirmed_s

    def age_ms(self, now_s):
        """Return the age in milliseconds; None if never confirmed."""
        if self._confirmed_s is None:
            return None
        return round(self.age_s(now_s) * units.MS_PER_SECOND)

    def observe_time(self, now_s):
        """Record that the process runs, several times in MIN_PAUSE_S."""
        if self._ran_s is None or now_s - self._ran_s > MIN_PAUSE_S:
            self._resumed_s = now_s
        self._ran_s = now_s

    def is_settled(self, now_s):
        """Return whether the view is as current as this VM can have it.

        After a pause or a start, the view may lack entries that were in
        force long before, until a control process has confirmed it. A VM
        that reaches none goes on after CONTACT_WAIT_S.
        """
        self.observe_time(now_s)
        bound_s = min(self._bound_s, FRESHNESS_BOUND_S)
        return (
            self.age_s(now_s) <= bound_s
            or now_s - self._resumed_s >= CONTACT_WAIT_S
        )

    def is_fresh(self, now_s):
        """Return whether the view is fresh enough for keyed routes.

        The view then lacks no entry that is older than the bound.
        """
        if self._confirmed_s is None:
            return False
        return self._confirmed_s >= now_s - self._bound_s
