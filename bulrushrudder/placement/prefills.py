"""Prefill servers of a model, their prefix caches and free times."""

import dataclasses
import math

from bulrushrudder.placement import load_index
from bulrushrudder.placement import mean_speed
from bulrushrudder.placement import prefixes
from bulrushrudder.placement import speeds
from bulrushrudder.state import servers

DEFAULT_TOKENS_PER_S = 10000.0
CANDIDATES_PER_ZONE = 2
MIN_READ_S = 0.005
# A server that fails a prefill gets the next one after this time, twice as
# long after each further failure. By then it has joined anew, or its lease
# has ended if it is gone.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 2.0
# Time to the first token besides the prompt processing: delivery of the
# grant, the calls to two servers, the transfer and the first event.
FIRST_TOKEN_OVERHEAD_S = 0.2


@dataclasses.dataclass(slots=True)
class PrefillServer:
    """State of a prefill server as tracked by the coordinator.

    :param free_s: monotonic seconds at which its booked prefills end.
    :param link_free_s: monotonic seconds at which its link is free.
    :param rate_reported: whether the server has reported its rate.
    :param isolated_until_s: monotonic seconds until which an isolated
        request may run there, so that no other prefill starts.
    :param base_s: fixed seconds of a prefill, whatever its prompt.
    :param pause_s: seconds of the last pause after a failure, 0 if its last
        prefill succeeded.
    :param paused_until_s: monotonic seconds until which no prefill starts,
        because the last ones failed.
    :param measurements: number of measurements of its rate.
    """

    server: servers.BackendServer
    tokens_per_s: float = DEFAULT_TOKENS_PER_S
    free_s: float = 0.0
    link_free_s: float = 0.0
    last_report_sequence: int = -1
    rate_reported: bool = False
    isolated_until_s: float = 0.0
    base_s: float = 0.0
    pause_s: float = 0.0
    paused_until_s: float = 0.0
    measurements: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillPlan:
    """A prefill that a server could run.

    :param start_s: monotonic seconds.
    :param end_s: monotonic seconds at which the result is ready.
    """

    prefill_server: PrefillServer
    start_s: float
    end_s: float


class PrefillPool:
    """Prefill servers, indexed by the time at which they are free."""

    def __init__(self):
        self.by_id: dict[str, PrefillServer] = {}
        self.prefixes = prefixes.PrefixCaches()
        self._index_by_zone = {}
        self._tokens_per_s = mean_speed.MeanSpeed()
        self._uneven = False

    def join(self, server):
        """Add a server or update its record."""
        known = self.by_id.get(server.id)
        if known and known.server.incarnation == server.incarnation:
            known.server = server
            return
        self.leave(server.id)
        pace = server.initial_speed
        rate = pace.prefill_tokens_per_s or DEFAULT_TOKENS_PER_S
        self.by_id[server.id] = PrefillServer(
            server, rate, base_s=pace.prefill_base_s
        )
        self.prefixes.join(server.id, server.incarnation)
        self._tokens_per_s.set(server.id, rate)
        self._zone_index(server.zone).set(server.id, 0.0)

    def has(self, server):
        """Return whether a server with the same record has joined."""
        known = self.by_id.get(server.id)
        return known is not None and known.server == server

    def leave(self, server_id):
        """Remove a server."""
        known = self.by_id.pop(server_id, None)
        if known is not None:
            self._zone_index(known.server.zone).remove(server_id)
            self._tokens_per_s.remove(server_id)
            self.prefixes.leave(server_id)

    def record_load(self, event):
        """Apply a LoadReported event."""
        known = self.by_id.get(event.server)
        if known is None or known.server.incarnation != event.incarnation:
            return
        if event.sequence <= known.last_report_sequence:
            return
        known.last_report_sequence = event.sequence
        if event.tokens_per_s > 0:
            known.tokens_per_s = event.tokens_per_s
            self._tokens_per_s.set(event.server, event.tokens_per_s)
            known.rate_reported = True

    def record_prefill(self, server_id, tokens, prefill_s):
        """Update the measured rate of a server with a prefill."""
        known = self.by_id.get(server_id)
        if known is None:
            return
        known.pause_s = 0.0
        if not known.server.initial_speed.prefill_tokens_per_s:
            return
        rate = tokens / max(MIN_READ_S, prefill_s - known.base_s)
        weight = speeds.weight(known.measurements)
        known.tokens_per_s += (rate - known.tokens_per_s) * weight
        known.measurements += 1
        self._tokens_per_s.set(server_id, known.tokens_per_s)
        self._compare_speeds()

    def _compare_speeds(self):
        rates = [
            known.tokens_per_s
            for known in self.by_id.values()
            if known.measurements
        ]
        mean = math.fsum(rates) / len(rates)
        self._uneven = any(
            speeds.slowness(mean, rate) != 1.0 for rate in rates
        )

    def record_failure(self, server_id, now_s):
        """Pause a server that has failed or rejected a prefill.

        Answers prefill servers that crash or change their kind under load:
        they look idle, so that every request would try them first.
        """
        known = self.by_id.get(server_id)
        if known is None or now_s < known.paused_until_s:
            return
        known.pause_s = min(MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * known.pause_s))
        known.paused_until_s = now_s + known.pause_s
        free_s = max(known.free_s, known.paused_until_s)
        self._zone_index(known.server.zone).set(server_id, free_s)

    def measured_servers(self):
        """Return the number of servers whose rate was measured."""
        return sum(known.measurements > 0 for known in self.by_id.values())

    def has_server(self, excluded):
        """Return whether there is a server, idle or busy, to choose from."""
        return any(server_id not in excluded for server_id in self.by_id)

    def plans(self, request, now_s, further=0):
        """Return candidate prefills, without a scan.

        :param further: number of further candidates of each zone.
        """
        if self._uneven:
            further += speeds.UNEVEN_CANDIDATES
        ids = {
            server_id
            for index in self._index_by_zone.values()
            for server_id in index.lowest(CANDIDATES_PER_ZONE + further)
        }
        ids |= {
            server_id for server_id, _ in self.prefixes.matches(request.prefix)
        }
        return [
            self._plan(self.by_id[server_id], request, now_s)
            for server_id in sorted(ids.difference(request.excluded))
        ]

    def work_s(self, request):
        """Return the seconds that a prefill takes on a server of mean speed.

        None if it is unknown.
        """
        known = next(iter(self.by_id.values()), None)
        if (
            known is None
            or not known.server.initial_speed.prefill_tokens_per_s
        ):
            return None
        return known.base_s + request.prompt_tokens / self._tokens_per_s.mean

    def first_token_lead_s(self, request):
        """Return the expected seconds from a grant to the first token."""
        if not self.by_id:
            return 0.0
        read_s = request.prompt_tokens / self._tokens_per_s.mean
        return FIRST_TOKEN_OVERHEAD_S + read_s

    def book(self, plan, prefix):
        """Book a plan."""
        plan.prefill_server.free_s = plan.end_s
        server = plan.prefill_server.server
        self._zone_index(server.zone).set(server.id, plan.end_s)
        self.prefixes.record_grant(server.id, prefix)

    def _plan(self, known, request, now_s):
        cached = self.prefixes.cached_tokens(known.server.id, request.prefix)
        tokens = max(1.0, request.prompt_tokens - cached)
        start_s = max(
            now_s,
            known.free_s,
            known.isolated_until_s,
            known.paused_until_s,
        )
        work_s = known.base_s + tokens / known.tokens_per_s
        return PrefillPlan(known, start_s, start_s + work_s)

    def _zone_index(self, zone):
        index = self._index_by_zone.get(zone)
        if index is None:
            index = load_index.LoadIndex()
            self._index_by_zone[zone] = index
        return index
