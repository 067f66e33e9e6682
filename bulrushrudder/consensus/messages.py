"""Messages between members of the replicated log."""

import dataclasses

from bulrushrudder.consensus import types


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """The header of every message between members.

    :param cluster: the id of the founder. Members of other logs ignore
        the message.
    :param term: the sender's term, or the term of the election.
    :param sender: the id of the sender.
    :param address: the address for responses.
    :param target: the id of the intended receiver, or empty. Another
        data folder may use its address by now.
    """

    cluster: str
    term: int
    sender: types.MemberId
    address: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote.

    :param last_index: the index of the last entry in the sender's log.
    :param last_term: the term of that entry.
    :param pre_vote: whether this only asks if a vote would be granted.
    :param transfer: whether the leader transfers its leadership.
    """

    header: Header
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VoteResponse:
    """Answers a vote request."""

    header: Header
    granted: bool
    pre_vote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries for a follower; a heartbeat if there are none.

    :param previous_index: the index before the first entry.
    :param previous_term: the term of the entry at that index.
    :param commit_index: the leader's commit index.
    :param round: the quorum round, echoed by the response.
    """

    header: Header
    previous_index: int
    previous_term: int
    entries: tuple[types.Entry, ...]
    commit_index: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendResponse:
    """Answers entries of the leader.

    :param success: whether the entries were stored.
    :param index: the last index up to which the logs match; without
        success, the last index up to which they may match.
    :param departing: whether the sender's process is about to stop.
    """

    header: Header
    success: bool
    index: int
    round: int
    departing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A chunk of the leader's snapshot.

    :param offset: the position of this chunk in the data, in bytes.
    :param total: the size of the whole data in bytes.
    """

    header: Header
    index: int
    snapshot_term: int
    members: tuple[types.Member, ...]
    offset: int
    total: int
    data: bytes
    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunkResponse:
    """Answers a snapshot chunk; the snapshot is not yet complete.

    :param offset: bytes of the snapshot that the follower has received.
    """

    header: Header
    index: int
    offset: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Asks a voter to start an election at once (leadership transfer)."""

    header: Header


@dataclasses.dataclass(frozen=True, slots=True)
class DiscoveryRequest:
    """Asks another address for the log while the sender has no leader.

    :param sequence: the number of the request, echoed by the response.
    :param log_empty: whether the sender's log is empty.
    :param may_found: whether the sender may found a log.
    """

    header: Header
    sequence: int
    log_empty: bool
    may_found: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """Answers a discovery request.

    :param log_empty: whether the sender's log is empty.
    :param addresses: the addresses of the members known to the sender.
    :param may_found: whether the sender may found a log.
    """

    header: Header
    sequence: int
    log_empty: bool
    addresses: tuple[str, ...] = ()
    may_found: bool = True


Message = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotChunkResponse
    | TransferLeadership
    | DiscoveryRequest
    | DiscoveryResponse
)
