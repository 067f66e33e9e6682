"""Decode servers of a model: places and memory in use."""

import dataclasses

from bulrushrudder.placement import balance
from bulrushrudder.placement import decode_server
from bulrushrudder.placement import events
from bulrushrudder.placement import load_index
from bulrushrudder.placement import mean_speed
from bulrushrudder.placement import memory_forecast
from bulrushrudder.placement import speeds

CANDIDATES_PER_ZONE = 3
INITIAL_HOLD_S = 10.0
HOLD_EWMA_WEIGHT = 0.05
LARGE_PIECES_DECAY = 0.99

# Expected number of ended requests at which the nth place ahead is free
# with 99% probability, if requests end independently (Poisson).
EXPECTED_ENDS_NEEDED = (4.61, 6.64, 8.41, 10.05, 11.60, 13.11)


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeHold:
    """Place and memory of one request on a decode server."""

    server: str
    incarnation: int
    pieces: int
    between_tokens_s: float
    isolation: events.Isolation
    hold: events.HoldId


class DecodePool:
    """Decode servers, indexed by how full they are.

    :param max_booked_ahead: limit of places per server that are booked before
        the requests in them have ended.
    """

    def __init__(self, max_booked_ahead):
        self.by_id: dict[str, decode_server.DecodeServer] = {}
        self.held_places = 0
        self.places = 0
        self.mean_hold_s = INITIAL_HOLD_S
        self.large_pieces = 1.0
        # In tokens of memory, times the tokens generated per second.
        self._memory_speed = mean_speed.MeanSpeed()
        self._uneven = False
        self._max_booked_ahead = min(
            max_booked_ahead, len(EXPECTED_ENDS_NEEDED)
        )
        self._index_by_zone = {}

    def join(self, server):
        """Add a server or update its record."""
        known = self.by_id.get(server.id)
        self.leave(server.id)
        if known is None or known.server.incarnation != server.incarnation:
            known = decode_server.DecodeServer(
                server, token_s=server.initial_speed.token_s
            )
        self.by_id[server.id] = known
        known.server = server
        known.present = True
        self.held_places += known.held_places
        known.place_limit = server.places
        self.places += known.place_limit
        self._record_speed(known)
        self._reindex(known)

    def has(self, server):
        """Return whether a server with the same record is present."""
        known = self.by_id.get(server.id)
        return known is not None and known.present and known.server == server

    def leave(self, server_id):
        """Stop placing requests on a server; existing holds remain."""
        known = self.by_id.get(server_id)
        if known is None or not known.present:
            return
        known.present = False
        self._memory_speed.remove(server_id)
        self.held_places -= known.held_places
        self.places -= known.place_limit
        self._zone_index(known.server.zone).remove(server_id)
        if known.held_places == 0:
            del self.by_id[server_id]

    def record_load(self, event):
        """Apply a LoadReported event."""
        known = self.by_id.get(event.server)
        if known is None or known.server.incarnation != event.incarnation:
            return
        if event.sequence <= known.last_report_sequence:
            return
        known.last_report_sequence = event.sequence
        if event.running > 0 and event.step_s > 0:
            known.steps.observe(event.running, event.step_s)
            self._update_limit(known)

    def candidates(self, excluded, further=0):
        """Return the least filled servers of each zone, without a scan.

        :param further: number of further candidates of each zone.
        """
        if self._uneven:
            further += speeds.UNEVEN_CANDIDATES
        return [
            self.by_id[server_id]
            for index in self._index_by_zone.values()
            for server_id in index.lowest(CANDIDATES_PER_ZONE + further)
            if server_id not in excluded
        ]

    def has_room_for(self, count, tokens):
        """Return whether there is room for some requests in all.

        :param tokens: of each of them.
        """
        for known in self.by_id.values():
            if count <= 0:
                break
            if known.present:
                count -= known.rooms(tokens)
        return count <= 0

    def has_software(self, software):
        """Return whether a server has a software version."""
        return any(
            known.present and known.server.software == software
            for known in self.by_id.values()
        )

    def fits(self, known, request, lead_s):
        """Return whether a place is free by the time it is needed.

        :param lead_s: seconds until then.
        """
        bound = known.request_limit(request.between_tokens_s)
        return known.held_places < bound + self._places_ahead(known, lead_s)

    def allocate(self, known, allocation, between_tokens_s, decode_start_s):
        """Allocate a place and memory.

        :param allocation: the Allocation.
        :param decode_start_s: monotonic seconds at which decoding
            starts.
        :returns: the DecodeHold to be released.
        """
        pieces = known.pieces_of(
            allocation.prompt_tokens + allocation.output_tokens
        )
        isolation = allocation.isolation
        self.large_pieces = max(pieces, self.large_pieces * LARGE_PIECES_DECAY)
        hold = DecodeHold(
            known.server.id,
            known.server.incarnation,
            pieces,
            between_tokens_s,
            isolation,
            allocation.hold,
        )
        known.runs[allocation.hold] = memory_forecast.RunningRequest(
            allocation.prompt_tokens,
            decode_start_s,
            allocation.expected_tokens or allocation.output_tokens,
            allocation.output_tokens,
        )
        known.held_places += 1
        known.held_pieces += pieces
        known.requests_by_target_s[hold.between_tokens_s] += 1
        known.count_isolated(isolation, 1)
        if known.present:
            self.held_places += 1
            self._reindex(known)
        return hold

    def release(self, hold, held_s):
        """Release the place and memory of a request.

        :param held_s: seconds that the server ran it, None if unknown.
        """
        if held_s is not None:
            self.mean_hold_s += (held_s - self.mean_hold_s) * HOLD_EWMA_WEIGHT
        known = self.by_id.get(hold.server)
        if known is None or known.server.incarnation != hold.incarnation:
            return
        known.held_places -= 1
        known.runs.pop(hold.hold, None)
        known.held_pieces -= hold.pieces
        known.count_isolated(hold.isolation, -1)
        known.requests_by_target_s[hold.between_tokens_s] -= 1
        if known.requests_by_target_s[hold.between_tokens_s] == 0:
            del known.requests_by_target_s[hold.between_tokens_s]
        if known.present:
            self.held_places -= 1
            self._reindex(known)
        elif known.held_places == 0:
            del self.by_id[hold.server]

    def record_token_time(self, server_id, token_s, now_s):
        """Update the measured time between tokens of a server."""
        known = self.by_id.get(server_id)
        if known is None or known.token_s <= 0:
            return
        weight = speeds.weight(known.token_measurements)
        known.token_s += (token_s - known.token_s) * weight
        known.token_measurements += 1
        known.token_measured_s = now_s
        self._record_speed(known)
        self._compare_speeds(known, now_s)

    def _compare_speeds(self, measured, now_s):
        """Compare the speed of a server with those of the others."""
        fresh_s = now_s - speeds.STALE_AFTER_S
        fresh = []
        for known in self.by_id.values():
            if known.token_measurements and known.token_measured_s >= fresh_s:
                fresh.append(known.token_s)
            else:
                known.slowness = 1.0
        mean_s = speeds.harmonic_mean(fresh)
        measured.slowness = speeds.slowness(measured.token_s, mean_s)
        self._uneven = any(k.slowness != 1.0 for k in self.by_id.values())

    def record_result(self, server_id, failed, now_s):
        """Update the failure share of a server."""
        known = self.by_id.get(server_id)
        if known is not None:
            known.record_result(failed, now_s)

    def work_s(self, request):
        """Return the seconds of a whole server that a request takes.

        It is the mean over the servers, whose speeds may differ by more
        than twice. None if the memory or the speed of the servers is
        unknown.
        """
        speed = self._memory_speed.mean * balance.MEMORY_USE_SHARE
        if speed <= 0:
            return None
        output = request.expected_tokens or request.output_tokens
        return output * (request.prompt_tokens + output / 2) / speed

    def _record_speed(self, known):
        if known.present and known.token_s > 0:
            speed = known.server.memory_tokens / known.token_s
            self._memory_speed.set(known.server.id, speed)

    def measured_servers(self):
        """Return the number of present servers whose speed was measured."""
        return sum(
            known.present and known.token_measurements > 0
            for known in self.by_id.values()
        )

    def prompt_read_s(self, request):
        """Return the seconds that a decode server takes for a prompt."""
        known = next(iter(self.by_id.values()), None)
        return known.prompt_read_s(request.prompt_tokens) if known else 0.0

    def _places_ahead(self, known, lead_s):
        ends = known.held_places * lead_s / max(self.mean_hold_s, 0.001)
        ahead = 0
        while (
            ahead < self._max_booked_ahead
            and EXPECTED_ENDS_NEEDED[ahead] <= ends
        ):
            ahead += 1
        return ahead

    def _update_limit(self, known):
        strictest_s = min(known.requests_by_target_s, default=None)
        if strictest_s is None or not known.present:
            return
        self.places -= known.place_limit
        known.place_limit = known.request_limit(strictest_s)
        self.places += known.place_limit

    def _reindex(self, known):
        server = known.server
        self._zone_index(server.zone).set(server.id, known.fill_share)

    def _zone_index(self, zone):
        index = self._index_by_zone.get(zone)
        if index is None:
            index = load_index.LoadIndex()
            self._index_by_zone[zone] = index
        return index
