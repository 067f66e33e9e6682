"""How many servers of a pool should prefill, and which changes its kind.

A request takes one prefill server for the reading of its prompt, and a
part of a decode server's memory while its answer is made. The pool
serves most requests where neither kind holds the other up.
"""

import collections
import dataclasses

from bulrushrudder.core import ids

# Requests of late that decide; a pool in use sees them in some seconds.
DECAY_PER_REQUEST = 0.97
# Fewer requests than these say too little.
MIN_REQUESTS = 20
# A change takes its server out for some seconds, so it must gain this
# part of what the pool serves.
MIN_GAIN_SHARE = 0.25
# Pools of so many servers keep two that prefill, as one may be lost.
MIN_POOL_FOR_TWO_PREFILLS = 4
# Memory that requests fill on average, where their peak fits it.
MEMORY_USE_SHARE = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class RequestWork:
    """What one request takes.

    :param prefill_s: seconds of a prefill server.
    :param decode_s: seconds of a whole decode server.
    """

    prefill_s: float
    decode_s: float


class AverageWork:
    """The average work of the requests of late."""

    def __init__(self):
        self._weight = 0.0
        self._prefill_s = 0.0
        self._decode_s = 0.0

    @property
    def work(self):
        """Return the Work of a usual request; None where few were seen."""
        if self._weight < _min_weight():
            return None
        return RequestWork(
            self._prefill_s / self._weight, self._decode_s / self._weight
        )

    def record(self, work):
        """Take in the Work of a request."""
        self._weight = self._weight * DECAY_PER_REQUEST + 1.0
        self._prefill_s = self._prefill_s * DECAY_PER_REQUEST + work.prefill_s
        self._decode_s = self._decode_s * DECAY_PER_REQUEST + work.decode_s


def _min_weight():
    return (1.0 - DECAY_PER_REQUEST**MIN_REQUESTS) / (1.0 - DECAY_PER_REQUEST)


def throughput(work, prefills, decodes):
    """Return the requests a second that some servers can serve."""
    return min(
        prefills / max(work.prefill_s, 1e-6),
        decodes / max(work.decode_s, 1e-6),
    )


def wanted(work, prefills, decodes):
    """Return how many servers should prefill.

    :param prefills: servers that do now.
    :param decodes: servers that decode now.
    """
    total = prefills + decodes
    if total < 2:
        return prefills
    min_prefills = 2 if total >= MIN_POOL_FOR_TWO_PREFILLS else 1
    best = max(
        range(min_prefills, total),
        key=lambda count: throughput(work, count, total - count),
    )
    current = throughput(work, prefills, decodes)
    if throughput(work, best, total - best) < current * (1.0 + MIN_GAIN_SHARE):
        return prefills
    return best


@dataclasses.dataclass(frozen=True, slots=True)
class KindChange:
    """A server is to change its kind."""

    server: ids.ServerId
    kind: str


def next_change(servers, prefills):
    """Return the next Change towards a number of prefill servers.

    It takes the server from the zone that has most of its kind.

    :param servers: the BackendServers of the pool.
    :param prefills: how many of them should prefill.
    :returns: a Change, or None.
    """
    by_kind = collections.defaultdict(list)
    for server in servers:
        by_kind[server.kind].append(server)
    prefill_count = len(by_kind['prefill'])
    if prefill_count > max(prefills, 1):
        return KindChange(_from_fullest_zone(by_kind['prefill']), 'decode')
    if prefill_count < prefills and len(by_kind['decode']) > 1:
        return KindChange(_from_fullest_zone(by_kind['decode']), 'prefill')
    return None


def _from_fullest_zone(servers):
    counts = collections.Counter(server.zone for server in servers)
    return min(servers, key=lambda s: (-counts[s.zone], s.id)).id
