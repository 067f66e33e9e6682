"""Decides what a process accepts and finishes from a stop request on.

A stop has three phases. While it leaves, the process reports unready, so
that balancers send callers elsewhere, and still accepts calls. While it
drains, it refuses new calls and finishes the accepted ones. Then it ends:
what is still unanswered gets a final answer.

All times are monotonic seconds.
"""

import dataclasses
import math

# Left after the last call for final answers, the session and the exit.
CLOSING_S = 1.0
EXIT_SHARE = 0.4
# What is sent later than this before the last call ends is of no use.
LAST_SEND_S = 1.0
# Bounds for processes that have little time to stop.
MAX_CLOSING_SHARE = 0.25
MAX_LEAVING_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Calls are accepted, and callers are told to connect elsewhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class Draining:
    """New calls are refused, accepted ones are finished."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """Calls that are still in flight get a final answer."""


Phase = Leaving | Draining | Ending


@dataclasses.dataclass(frozen=True, slots=True)
class Shutdown:
    """The times of one stop.

    :param requested_s: when the stop was requested.
    :param accept_until_s: end of the first phase.
    :param send_until_s: when accepted calls that still wait are refused,
        infinite if the process is never killed.
    :param finish_until_s: end of the second phase, infinite if the process
        is never killed.
    :param end_s: when the process must have closed its session, infinite
        if it is never killed.
    """

    requested_s: float
    accept_until_s: float
    send_until_s: float
    finish_until_s: float
    end_s: float

    def phase(self, now_s):
        """Return the Phase."""
        if now_s < self.accept_until_s:
            return Leaving()
        if now_s < self.finish_until_s:
            return Draining()
        return Ending()

    def accepts(self, now_s, needed_s=0.0):
        """Return whether a call is accepted.

        :param needed_s: seconds that the call needs.
        """
        match self.phase(now_s):
            case Leaving():
                return now_s + needed_s < self.finish_until_s
            case Draining() | Ending():
                return False

    def left_s(self, now_s, limit_s, reserve_s=0.0):
        """Return the seconds that a step of the stop may take.

        :param limit_s: limit of the step; the end of the stop may leave
            less.
        :param reserve_s: seconds that the steps after it need.
        """
        return max(0.0, min(limit_s, self.end_s - reserve_s - now_s))


def plan(now_s, balancer_s, limit_s=None):
    """Return the Shutdown of a stop that is requested now.

    :param balancer_s: seconds until balancers have noticed that the
        process is unready.
    :param limit_s: seconds until the process is killed; None if it never
        is.
    """
    if limit_s is None:
        return Shutdown(
            now_s, now_s + balancer_s, math.inf, math.inf, math.inf
        )
    closing_s = min(CLOSING_S, limit_s * MAX_CLOSING_SHARE)
    accept_until_s = now_s + min(balancer_s, limit_s * MAX_LEAVING_SHARE)
    finish_until_s = now_s + limit_s - closing_s
    return Shutdown(
        now_s,
        accept_until_s,
        max(accept_until_s, finish_until_s - LAST_SEND_S),
        finish_until_s,
        now_s + limit_s - closing_s * EXIT_SHARE,
    )
