"""Faults that a run can have."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLost:
    """A decode server dies."""

    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorLost:
    """The coordinator dies and another one takes over.

    :param away_s: seconds until entries ask the new one.
    """

    at_s: float
    takeover_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportsLate:
    """Reports come late, and some never.

    :param lost: part of the reports that is lost.
    """

    report_lag_s: float
    lost_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallersLeave:
    """Some callers give up while they wait.

    :param share: part of the callers.
    :param after_s: mean of the seconds that they wait.
    """

    share: float
    mean_wait_s: float
