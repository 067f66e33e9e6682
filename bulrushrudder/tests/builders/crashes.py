"""Builders of reports of crashed servers, and a simulated fleet."""

import itertools

from bulrushrudder.core import ids
from bulrushrudder.state import suspect_parts

DEADLY = 'deadly'


def report(request, parts, crash, view=1000):
    """Return the report of the crash with a number."""
    return suspect_parts.ReportEarlyCrash(
        request, tuple(parts), ids.ServerId(f'i-{crash}'), crash, view
    )


def table(*commands):
    """Return a table with committed commands, from index 1 on."""
    suspects = suspect_parts.SuspectParts()
    for index, command in enumerate(commands, 1):
        suspects.apply(index, command)
    return suspects


class SimulatedFleet:
    """Servers, each of which a deadly part crashes, in a random order.

    Reports are committed in order and reach views late; some are lost with
    the process that has them.

    :param randomness: a seeded random.Random.
    :param lost_share: share of the reports that are lost.
    :param max_view_lag: how many requests a view may be late.
    """

    def __init__(self, randomness, lost_share, max_view_lag):
        self._random = randomness
        self._lost_share = lost_share
        self._max_view_lag = max_view_lag
        self._commands = []
        self._numbers = itertools.count(1)
        self._crashes = itertools.count(1)
        self.crashes = 0
        self.late_arrivals = 0
        self.refused_sound = 0

    def send(self, *parts):
        """Send a request that is like no other."""
        lag = self._random.randint(0, self._max_view_lag)
        view = max(0, len(self._commands) - lag)
        seen = table(*self._commands[:view])
        request = f'request-{next(self._numbers)}'
        deadly = DEADLY in parts
        if seen.refuses(request, parts):
            self.refused_sound += not deadly
            return
        if deadly:
            self._crash(request, parts, view)
            return
        known = seen.known(parts)
        if known:
            self._commit(suspect_parts.ClearParts(known))

    def _crash(self, request, parts, view):
        self.late_arrivals += self.crashes >= 5
        self.crashes += 1
        crash = next(self._crashes)
        if self._random.random() < self._lost_share:
            return
        self._commit(report(request, parts, crash, view))
        if self._random.random() < 0.3:
            # A sound request had not begun on the same server either.
            bystander = f'request-{next(self._numbers)}'
            self._commit(report(bystander, ('first',), crash, view))

    def _commit(self, command):
        self._commands.append(command)
