"""Split of a pool between prefill and decode servers.

A request occupies one prefill server while its prompt is processed, and
a share of a decode server's memory while its output is generated. The
throughput of the pool is highest when neither kind is a bottleneck; a
small pool also has to bear the loss of a server.
"""

import collections
import dataclasses

from bulrushrudder.core import ids

# Decay of the average per request; a busy pool renews it in seconds.
DECAY_PER_REQUEST = 0.97
# Requests recorded before the average is used. Prompt lengths spread by
# about half, so it is then off by some 15%, less than MIN_GAIN_SHARE.
MIN_REQUESTS = 10
# Share of the servers of each kind whose speed must have been measured. The
# split of a pool whose speeds differ from the initial estimate would move a
# quarter of its servers, and they are missing until they move back.
MIN_MEASURED_SHARE = 0.25
# A change takes its server out of service for some seconds, so it must
# raise the throughput of the pool by at least this share.
MIN_GAIN_SHARE = 0.2
# Pools of at least this size keep two prefill servers, as one may fail.
MIN_POOL_FOR_TWO_PREFILLS = 4
# Share of the servers of a pool that change their kind at the same time.
MAX_CHANGING_SHARE = 0.25
# Average share of memory in use when the peak just fits.
MEMORY_USE_SHARE = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class RequestWork:
    """Server time that one request takes.

    :param prefill_s: seconds of a prefill server.
    :param decode_s: seconds of a whole decode server.
    """

    prefill_s: float
    decode_s: float


class AverageWork:
    """Exponentially decaying average of RequestWork."""

    def __init__(self):
        self._weight = 0.0
        self._prefill_s = 0.0
        self._decode_s = 0.0

    @property
    def work(self):
        """Return the average RequestWork, None after too few requests."""
        if self._weight < _min_weight():
            return None
        return RequestWork(
            self._prefill_s / self._weight, self._decode_s / self._weight
        )

    def record(self, work):
        """Add the RequestWork of a request."""
        self._weight = self._weight * DECAY_PER_REQUEST + 1.0
        self._prefill_s = self._prefill_s * DECAY_PER_REQUEST + work.prefill_s
        self._decode_s = self._decode_s * DECAY_PER_REQUEST + work.decode_s


def _min_weight():
    return (1.0 - DECAY_PER_REQUEST**MIN_REQUESTS) / (1.0 - DECAY_PER_REQUEST)


def throughput(work, prefills, decodes):
    """Return the requests per second that the servers can serve."""
    return min(
        prefills / max(work.prefill_s, 1e-6),
        decodes / max(work.decode_s, 1e-6),
    )


def expected_throughput(work, prefills, decodes):
    """Return the mean throughput with all servers and after one loss.

    Answers pools of a few servers, in which each loss of a server of the
    scarcer kind halves the throughput until another one has changed.
    """
    after_loss = min(
        throughput(work, max(0, prefills - 1), decodes),
        throughput(work, prefills, max(0, decodes - 1)),
    )
    return (throughput(work, prefills, decodes) + after_loss) / 2


def wanted(work, prefills, decodes):
    """Return the target number of prefill servers.

    :param prefills: current number of prefill servers.
    :param decodes: current number of decode servers.
    """
    total = prefills + decodes
    if total < 2:
        return prefills
    min_prefills = 2 if total >= MIN_POOL_FOR_TWO_PREFILLS else 1
    best = max(
        range(min_prefills, total),
        key=lambda count: expected_throughput(work, count, total - count),
    )
    current = expected_throughput(work, prefills, decodes)
    if expected_throughput(work, best, total - best) < current * (
        1.0 + MIN_GAIN_SHARE
    ):
        return prefills
    return best


def wanted_of_pools(work, prefills, decodes):
    """Return the target number of prefill servers, None if unknown.

    :param work: the average RequestWork, or None.
    :param prefills: the PrefillPool.
    :param decodes: the DecodePool.
    """
    if work is None:
        return None
    prefill_count = len(prefills.by_id)
    decode_count = sum(known.present for known in decodes.by_id.values())
    measured = (
        prefills.measured_servers() >= prefill_count * MIN_MEASURED_SHARE
        and decodes.measured_servers() >= decode_count * MIN_MEASURED_SHARE
    )
    # A pool that lacks one kind serves nothing and measures nothing.
    if prefill_count and decode_count and not measured:
        return None
    return wanted(work, prefill_count, decode_count)


@dataclasses.dataclass(frozen=True, slots=True)
class KindChange:
    """A server that is to change its kind.

    :param kind: its new kind.
    """

    server: ids.ServerId
    kind: str


def next_changes(servers, prefills):
    """Return the next KindChanges towards a number of prefill servers.

    Answers a load whose work differs from the split of the pool: up to a
    quarter of the servers change together, because a large pool would
    otherwise take minutes, at one change time for each server. Servers
    are taken from the zones with the most servers of their kind, and the
    last server of a kind stays.

    :param servers: the BackendServers of the pool.
    :param prefills: target number of prefill servers.
    :returns: a tuple of KindChanges.
    """
    by_kind = collections.defaultdict(list)
    for server in servers:
        by_kind[server.kind].append(server)
    surplus = len(by_kind['prefill']) - max(prefills, 1)
    from_kind, to_kind = 'prefill', 'decode'
    if surplus < 0:
        from_kind, to_kind = to_kind, from_kind
    remaining = by_kind[from_kind]
    count = min(
        abs(surplus),
        len(remaining) - 1,
        max(1, int(len(servers) * MAX_CHANGING_SHARE)),
    )
    changes = []
    for _ in range(count):
        chosen = _from_fullest_zone(remaining)
        remaining.remove(chosen)
        changes.append(KindChange(chosen.id, to_kind))
    return tuple(changes)


def _from_fullest_zone(servers):
    counts = collections.Counter(server.zone for server in servers)
    return min(servers, key=lambda s: (-counts[s.zone], s.id))
