"""Decides which VMs are asked to relay connections to a backend server.

All times are monotonic seconds.
"""

import collections
import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import ranking
from bulrushrudder.lifecycle import paths

# VMs asked at a time, and in all for one connection. One that relayed
# lately is asked alone at first.
ASKED_AT_ONCE = 3
MAX_ASKED = 10
# A whole zone may have lost its paths: of the VMs asked first, this number
# may be of the zone of this VM.
ASKED_OF_OWN_ZONE = 1
# VMs that must say that a server is down, if there are as many others.
VOICES = 2
WORKING_MEMORY_S = 5.0
FAILED_MEMORY_S = 3.0
_SERVER_PROBLEMS = (
    paths.RelayProblem.SERVER_REFUSES,
    paths.RelayProblem.SERVER_SILENT,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A VM that may relay.

    :param owner: its entry process.
    """

    owner: ids.Owner
    zone: ids.Zone


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer of a relay that opened no tunnel.

    :param reaches_others: whether it connected to another server.
    """

    problem: paths.RelayProblem
    reaches_others: bool

    @property
    def says_down(self):
        """Return whether the server, not the path of the relay, failed."""
        return self.reaches_others and self.problem in _SERVER_PROBLEMS


class Verdict:
    """What the VMs that were asked for one server say together.

    One VM may have lost its path to this server alone, which it cannot
    tell from a crash.

    :param candidates: the Candidates.
    :ivar refused: whether one of those that reach others says that the
        server refuses connections.
    """

    def __init__(self, candidates):
        self._needed = min(VOICES, len(candidates))
        self._voices = 0
        self.refused = False

    @property
    def down(self):
        """Return whether the server, not a path, has failed."""
        return 0 < self._needed <= self._voices

    def record(self, answer):
        """Record the Answer of a VM; None if it gave none."""
        match answer:
            case Answer(says_down=True, problem=problem):
                self._voices += 1
                self.refused |= problem is paths.RelayProblem.SERVER_REFUSES


class Relays:
    """What this VM knows about the VMs that may relay for it.

    :param owner: the Owner that identifies this process.
    :param zone: of this VM.
    """

    def __init__(self, owner, zone):
        self._owner = owner
        self._zone = zone
        self._working_until_s = {}
        self._failed_until_s = {}
        self._failed_for_server_until_s = {}
        self._denied_until_s = {}
        self._tunnels_by_owner = {}

    def candidates(self, open_sessions):
        """Return the Candidates among the open sessions.

        :param open_sessions: OpenSessions of all VMs. A VM that stops
            hosts no roles.
        """
        return [
            Candidate(session.owner, session.zone)
            for session in open_sessions
            if session.hosts_roles and session.owner.vm != self._owner.vm
        ]

    def batches(self, candidates, server, now_s):
        """Return lists of Owners to ask for a server, one after the other.

        Those that relayed lately come first, the least used of them at the
        head; those that failed lately are left out unless all have. Those
        that said lately that the server is down come last, the one that
        said so first at their head.

        :param server: the ServerKey.
        """
        working, others = self._ranked(candidates, server, now_s)
        first, queue = working[:1], [*working[1:], *others]
        queue = queue[: MAX_ASKED - len(first)]
        # With the one asked alone, no more are asked than without it.
        second = ASKED_AT_ONCE - len(first)
        batches = [first, queue[:second]] + [
            queue[start : start + ASKED_AT_ONCE]
            for start in range(second, len(queue), ASKED_AT_ONCE)
        ]
        return [batch for batch in batches if batch]

    def _ranked(self, candidates, server, now_s):
        self._forget_expired(now_s)
        by_owner = {candidate.owner: candidate for candidate in candidates}
        sound = [
            owner
            for owner in by_owner
            if owner not in self._failed_until_s
            and (owner, server) not in self._failed_for_server_until_s
        ]
        denied = [o for o in sound if (o, server) in self._denied_until_s]
        asked_first = [o for o in sound or by_owner if o not in denied]
        working = [
            o for o in asked_first if sound and o in self._working_until_s
        ]
        others = [o for o in asked_first if o not in working]
        working.sort(key=lambda o: (self._uses(o), self._weight(o)))
        others.sort(key=self._weight, reverse=True)
        own = [o for o in others if by_owner[o].zone == self._zone]
        first_own = own[:ASKED_OF_OWN_ZONE]
        foreign = _spread([o for o in others if o not in own], by_owner)
        rest = own[ASKED_OF_OWN_ZONE:]
        denied.sort(key=lambda o: self._denied_until_s[o, server])
        return working, [*first_own, *foreign, *rest, *denied]

    def opened(self, owner, now_s):
        """Record that a relay opened a tunnel."""
        self._failed_until_s.pop(owner, None)
        self._working_until_s[owner] = now_s + WORKING_MEMORY_S
        self._tunnels_by_owner[owner] = self._uses(owner) + 1

    def failed(self, owner, server, answer, now_s):
        """Record that a relay opened no tunnel.

        :param answer: the Answer; None if the VM gave none.
        """
        until_s = now_s + FAILED_MEMORY_S
        match answer:
            case Answer(says_down=True):
                self._denied_until_s[owner, server] = until_s
            case (
                Answer(problem=paths.RelayProblem.UNKNOWN_SERVER)
                | Answer(reaches_others=True)
            ):
                self._failed_for_server_until_s[owner, server] = until_s
            case _:
                self._failed_until_s[owner] = until_s
                self._working_until_s.pop(owner, None)

    def _uses(self, owner):
        return self._tunnels_by_owner.get(owner, 0)

    def _weight(self, owner):
        return ranking.weight(self._owner.vm, owner.vm)

    def _forget_expired(self, now_s):
        for table in (
            self._working_until_s,
            self._failed_until_s,
            self._failed_for_server_until_s,
            self._denied_until_s,
        ):
            for key in [k for k, until_s in table.items() if until_s <= now_s]:
                del table[key]
        if not self._working_until_s:
            self._tunnels_by_owner.clear()


def _spread(owners, candidates_by_owner):
    """Return owners in an order in which zones take turns."""
    numbers_by_zone = collections.Counter()
    turns = []
    for owner in owners:
        zone = candidates_by_owner[owner].zone
        turns.append((numbers_by_zone[zone], len(turns), owner))
        numbers_by_zone[zone] += 1
    return [owner for _, _, owner in sorted(turns)]
