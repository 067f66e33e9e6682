"""Decode servers of a cell: places and memory that are held."""

import dataclasses

from bulrushrudder.placement import balance
from bulrushrudder.placement import decode_server
from bulrushrudder.placement import events
from bulrushrudder.placement import fill_index
from bulrushrudder.placement import memory as growing

CANDIDATES_A_ZONE = 3
START_HOLD_S = 10.0
HOLD_SHARE = 0.05
LARGE_DECAY = 0.99
# Weight of one more request in the pace of its server.
MEASURED_SHARE = 0.1

# Expected ends of requests by which the nth place ahead is free in 99
# of 100 cases, where ends come independently of each other.
NEEDED_ENDS = (4.61, 6.64, 8.41, 10.05, 11.60, 13.11)


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeHold:
    """What one request holds on a decode server."""

    server: str
    incarnation: int
    pieces: int
    between_tokens_s: float
    isolation: events.Isolation
    hold: events.HoldId


class Decodes:
    """Decode servers by how full they are.

    :param most_ahead: places that may be booked on a server before the
        requests that hold them have ended.
    """

    def __init__(self, most_ahead):
        self.by_id: dict[str, decode_server.DecodeServer] = {}
        self.held = 0
        self.places = 0
        self.hold_s = START_HOLD_S
        self.large_pieces = 1.0
        self._most_ahead = min(most_ahead, len(NEEDED_ENDS))
        self._index_by_zone = {}

    def join(self, server):
        """Add a server, or take its changes in."""
        self.leave(server.id)
        known = self.by_id.get(server.id)
        if known is None or known.server.incarnation != server.incarnation:
            known = decode_server.DecodeServer(
                server, token_s=server.initial_speed.token_s
            )
            self.by_id[server.id] = known
        known.server = server
        known.present = True
        self.held += known.held
        known.limit = server.places
        self.places += known.limit
        self._indexed(known)

    def leave(self, server_id):
        """Give a server no new work; what is held there stays held."""
        known = self.by_id.get(server_id)
        if known is None or not known.present:
            return
        known.present = False
        self.held -= known.held
        self.places -= known.limit
        self._index(known.server.zone).remove(server_id)
        if known.held == 0:
            del self.by_id[server_id]

    def reported(self, event):
        """Take a LoadReported event in."""
        known = self.by_id.get(event.server)
        if known is None or known.server.incarnation != event.incarnation:
            return
        if event.sequence <= known.last_report:
            return
        known.last_report = event.sequence
        if event.running > 0 and event.step_s > 0:
            known.steps.observe(event.running, event.step_s)
            self._limit(known)

    def candidates(self, excluded):
        """Return the emptiest servers of each zone, without a scan."""
        return [
            self.by_id[server_id]
            for index in self._index_by_zone.values()
            for server_id in index.least(CANDIDATES_A_ZONE)
            if server_id not in excluded
        ]

    def fits(self, known, asked, lead_s):
        """Return whether a place is free when a transfer ends.

        :param lead_s: seconds until its place is needed.
        """
        bound = known.bound(asked.between_tokens_s)
        return known.held < bound + self._ahead(known, lead_s)

    def take(self, known, holding, between_tokens_s, begins_s):
        """Hold a place and memory.

        :param holding: the Holding.
        :param begins_s: monotonic seconds at which decoding begins.
        :returns: the DecodeHold to be released.
        """
        pieces = known.pieces_of(holding.prompt_tokens + holding.output_tokens)
        isolation = holding.isolation
        self.large_pieces = max(pieces, self.large_pieces * LARGE_DECAY)
        hold = DecodeHold(
            known.server.id,
            known.server.incarnation,
            pieces,
            between_tokens_s,
            isolation,
            holding.hold,
        )
        known.runs[holding.hold] = growing.Run(
            holding.prompt_tokens,
            begins_s,
            holding.expected_tokens or holding.output_tokens,
            holding.output_tokens,
        )
        known.held += 1
        known.pieces += pieces
        known.targets_s[hold.between_tokens_s] += 1
        known.isolate(isolation, 1)
        if known.present:
            self.held += 1
            self._indexed(known)
        return hold

    def release(self, hold, held_s):
        """Free what was held.

        :param held_s: seconds that the server ran it, None if unknown.
        """
        if held_s is not None:
            self.hold_s += (held_s - self.hold_s) * HOLD_SHARE
        known = self.by_id.get(hold.server)
        if known is None or known.server.incarnation != hold.incarnation:
            return
        known.held -= 1
        known.runs.pop(hold.hold, None)
        known.pieces -= hold.pieces
        known.isolate(hold.isolation, -1)
        known.targets_s[hold.between_tokens_s] -= 1
        if known.targets_s[hold.between_tokens_s] == 0:
            del known.targets_s[hold.between_tokens_s]
        if known.present:
            self.held -= 1
            self._indexed(known)
        elif known.held == 0:
            del self.by_id[hold.server]

    def measured(self, server_id, token_s):
        """Take in the time between the tokens of a request."""
        known = self.by_id.get(server_id)
        if known is not None and known.token_s > 0:
            known.token_s += (token_s - known.token_s) * MEASURED_SHARE

    def judged(self, server_id, failed, now_s):
        """Take in how a server did with a request."""
        known = self.by_id.get(server_id)
        if known is not None:
            known.judge(failed, now_s)

    def work_s(self, asked):
        """Return the seconds of a whole server that a request takes.

        None where its servers' memory or pace is unknown.
        """
        known = next(iter(self.by_id.values()), None)
        if known is None or known.token_s <= 0:
            return None
        memory = known.server.memory_tokens * balance.USED_SHARE
        if memory <= 0:
            return None
        output = asked.expected_tokens or asked.output_tokens
        held_s = output * known.token_s
        return held_s * (asked.prompt_tokens + output / 2) / memory

    def lead_s(self, asked):
        """Return seconds in which one of them reads a prompt by itself."""
        known = next(iter(self.by_id.values()), None)
        return known.read_s(asked.prompt_tokens) if known else 0.0

    def _ahead(self, known, lead_s):
        ends = known.held * lead_s / max(self.hold_s, 0.001)
        found = 0
        while found < self._most_ahead and NEEDED_ENDS[found] <= ends:
            found += 1
        return found

    def _limit(self, known):
        strictest_s = min(known.targets_s, default=None)
        if strictest_s is None or not known.present:
            return
        self.places -= known.limit
        known.limit = known.bound(strictest_s)
        self.places += known.limit

    def _indexed(self, known):
        server = known.server
        self._index(server.zone).set(server.id, known.fill)

    def _index(self, zone):
        found = self._index_by_zone.get(zone)
        if found is None:
            found = fill_index.FillIndex()
            self._index_by_zone[zone] = found
        return found
