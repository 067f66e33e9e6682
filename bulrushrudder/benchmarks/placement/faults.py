"""Faults that a run can inject."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLost:
    """A decode server crashes."""

    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorLost:
    """The coordinator crashes and another one takes over.

    :param takeover_s: seconds until entries use the new one.
    """

    at_s: float
    takeover_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportsLate:
    """Load reports arrive late, and some are lost.

    :param report_lag_s: seconds from a report to its arrival.
    :param lost_share: share of the reports that is lost.
    """

    report_lag_s: float
    lost_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallersLeave:
    """Some callers leave before their answer is complete.

    :param share: share of the callers.
    :param mean_wait_s: mean seconds until they leave.
    """

    share: float
    mean_wait_s: float
