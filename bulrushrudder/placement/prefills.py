"""Prefill servers of a cell and when each is free."""

import dataclasses

from bulrushrudder.placement import fill_index
from bulrushrudder.placement import prefixes
from bulrushrudder.state import servers

START_TOKENS_PER_S = 10000.0
CANDIDATES_A_ZONE = 2
# Weight of one more prefill in the rate of its server; about ten of them
# decide, which a server in use does in a second or two.
MEASURED_SHARE = 0.1
LEAST_READ_S = 0.005
# A grant's way to its asker, the calls to two servers, the transfer and
# the first event take about this long beside the reading of the prompt.
FIRST_TOKEN_S = 0.2


@dataclasses.dataclass(slots=True)
class PrefillServer:
    """A prefill server as the coordinator believes it to be.

    :param free_s: monotonic seconds at which its prefills are done.
    :param link_free_s: monotonic seconds at which its link is free.
    :param reported: whether its rate is known.
    :param alone_until_s: monotonic seconds until which a suspect may run
        there, so that nothing else starts.
    :param base_s: seconds of a prefill whatever its prompt.
    """

    server: servers.BackendServer
    tokens_per_s: float = START_TOKENS_PER_S
    free_s: float = 0.0
    link_free_s: float = 0.0
    last_report: int = -1
    present: bool = True
    reported: bool = False
    alone_until_s: float = 0.0
    base_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillPlan:
    """A prefill that could be started.

    :param start_s: monotonic seconds.
    :param end_s: monotonic seconds at which the result is ready.
    """

    chosen: PrefillServer
    start_s: float
    end_s: float


class Prefills:
    """Prefill servers by the time at which they are free."""

    def __init__(self):
        self.by_id: dict[str, PrefillServer] = {}
        self.prefixes = prefixes.Prefixes()
        self._index_by_zone = {}

    def join(self, server):
        """Add a server, or take its changes in."""
        known = self.by_id.get(server.id)
        if known and known.server.incarnation == server.incarnation:
            known.server = server
            return
        self.leave(server.id)
        pace = server.initial_speed
        rate = pace.prefill_tokens_per_s or START_TOKENS_PER_S
        self.by_id[server.id] = PrefillServer(
            server, rate, base_s=pace.prefill_base_s
        )
        self.prefixes.join(server.id, server.incarnation)
        self._index(server.zone).set(server.id, 0.0)

    def leave(self, server_id):
        """Take a server out."""
        known = self.by_id.pop(server_id, None)
        if known is not None:
            self._index(known.server.zone).remove(server_id)
            self.prefixes.leave(server_id)

    def reported(self, event):
        """Take a LoadReported event in."""
        known = self.by_id.get(event.server)
        if known is None or known.server.incarnation != event.incarnation:
            return
        if event.sequence <= known.last_report:
            return
        known.last_report = event.sequence
        if event.tokens_per_s > 0:
            known.tokens_per_s = event.tokens_per_s
            known.reported = True

    def measured(self, server_id, tokens, prefill_s):
        """Take in how long a prefill took."""
        known = self.by_id.get(server_id)
        if (
            known is None
            or not known.server.initial_speed.prefill_tokens_per_s
        ):
            return
        rate = tokens / max(LEAST_READ_S, prefill_s - known.base_s)
        known.tokens_per_s += (rate - known.tokens_per_s) * MEASURED_SHARE

    def any_present(self, excluded):
        """Return whether a server may read a prompt, busy or not."""
        return any(server_id not in excluded for server_id in self.by_id)

    def plans(self, asked, now_s):
        """Return the prefills to choose from, without a scan."""
        ids = {
            server_id
            for index in self._index_by_zone.values()
            for server_id in index.least(CANDIDATES_A_ZONE)
        }
        ids |= {found for found, _ in self.prefixes.matches(asked.prefix)}
        return [
            self._plan(self.by_id[server_id], asked, now_s)
            for server_id in sorted(ids.difference(asked.excluded))
        ]

    def work_s(self, asked):
        """Return the seconds that a prefill takes, None if unknown."""
        known = next(iter(self.by_id.values()), None)
        if (
            known is None
            or not known.server.initial_speed.prefill_tokens_per_s
        ):
            return None
        return known.base_s + asked.prompt_tokens / known.tokens_per_s

    def lead_s(self, asked):
        """Return seconds from a grant to the first token to expect."""
        known = next(iter(self.by_id.values()), None)
        if known is None:
            return 0.0
        return FIRST_TOKEN_S + asked.prompt_tokens / known.tokens_per_s

    def take(self, plan, prefix):
        """Book a plan."""
        plan.chosen.free_s = plan.end_s
        server = plan.chosen.server
        self._index(server.zone).set(server.id, plan.end_s)
        self.prefixes.granted(server.id, prefix)

    def _plan(self, known, asked, now_s):
        cached = self.prefixes.cached(known.server.id, asked.prefix)
        tokens = max(1.0, asked.prompt_tokens - cached)
        start_s = max(now_s, known.free_s, known.alone_until_s)
        work_s = known.base_s + tokens / known.tokens_per_s
        return PrefillPlan(known, start_s, start_s + work_s)

    def _index(self, zone):
        found = self._index_by_zone.get(zone)
        if found is None:
            found = fill_index.FillIndex()
            self._index_by_zone[zone] = found
        return found
