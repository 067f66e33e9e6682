"""What a leader knows while it leads; none of it is persisted."""

import collections
import dataclasses

from bulrushrudder.consensus import types


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of another member.

    :ivar match_index: the last index up to which its log is known to
        match.
    :ivar next_index: the index of the next entry to send.
    :ivar known_since_s: when it was added or leadership began.
    :ivar in_flight_since_s: when the unanswered entries were sent, or
        None.
    :ivar last_response_s: when it last responded, or None.
    :ivar departing: whether its process is about to stop, or has stopped
        since it said so.
    :ivar steady_since_s: since when it has responded without a gap.
    :ivar acknowledged_round: the latest quorum round that it answered.
    :ivar snapshot_offset: bytes of the snapshot that it has received.
    """

    match_index: int
    next_index: int
    known_since_s: float
    in_flight_since_s: float | None
    last_response_s: float | None
    departing: bool
    steady_since_s: float
    acknowledged_round: int
    snapshot_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A linearizable read that waits for its quorum round.

    :param round: the round that a quorum must acknowledge.
    :param index: the commit index when the read was requested.
    """

    token: int
    round: int
    index: int


@dataclasses.dataclass(slots=True)
class Leadership:
    """Volatile state of a leader.

    :ivar term_start_index: the index of the first entry of its term.
    :ivar started_s: when leadership began.
    :ivar last_heartbeat_s: when heartbeats were last sent.
    :ivar round: the number of the latest quorum round.
    :ivar successor: the target of a leadership transfer, or None.
    :ivar transfer_end_s: when a transfer that has not succeeded ends.
    :ivar heard_s_by_id: when this member, as a follower, last heard the
        leader that it succeeds.
    :ivar promotions_by_id: how often members were promoted.
    :ivar newcomers_by_id: addresses of processes that may join, from
        their discovery requests.
    """

    term_start_index: int
    started_s: float
    last_heartbeat_s: float
    round: int
    progress_by_id: dict[types.MemberId, Progress]
    pending_reads: list[PendingRead]
    successor: types.MemberId | None
    newcomers_by_id: dict[types.MemberId, str]
    heard_s_by_id: dict[types.MemberId, float]
    promotions_by_id: collections.Counter
    transfer_end_s: float = 0.0
