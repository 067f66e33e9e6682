"""A simulated fleet in virtual time before a server that is cold."""

import heapq
import itertools
import random

from bulrushrudder.backpressure import cold_pace
from bulrushrudder.core import ids
from bulrushrudder.placement import actions
from bulrushrudder.placement import contacts
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.tests.builders import fleet

BOUNDS = cold_pace.ColdBounds(1.5, 5.0)
COLD_PER_S = 12.0
MAX_WAIT_S = 0.25
MAX_DELAY_S = 0.05
# Share of the waits of VMs that last longer than they should.
LATE_SHARE = 0.1
MAX_LATE_S = 0.6


def cold_server(server_id='decode-1', cold=True, **changes):
    """Return a server that sustains COLD_PER_S while it is cold."""
    fields = {'cold_requests_per_s': COLD_PER_S, **changes}
    return fleet.server(server_id, cold=cold, **fields)


def cold_call(number=1, server_id='decode-1', cold=True):
    """Return the event of a request to a server that may be cold."""
    return events.ColdCallRequested(
        number, ids.ServerId(server_id), 1, COLD_PER_S, cold, MAX_WAIT_S
    )


def contact(sole=True, elected=True, heard=True):
    """Return the event of what a coordinator knows about others."""
    return events.ContactChanged(sole, elected, heard)


def most_in(times, window_s):
    """Return the most of some times in any window of a length."""
    return max(sum(t <= u < t + window_s for u in times) for t in times)


class ColdFleet:
    """VMs that send requests to one cold server by their coordinators.

    Messages take random times, and now and then a VM stands still between
    a permit and its use. Only the server may turn; the log is not played.

    :param seed: of all random choices.
    :param requests_per_s: demand of the VMs of each coordinator.
    :ivar sent: times at which requests were sent.
    """

    def __init__(self, seed, requests_per_s):
        self._draw = random.Random(seed)
        self._requests_per_s = requests_per_s
        self._coordinators = {}
        self._contacts = {}
        self._confirmed_s = {}
        self._steps = []
        self._numbers = itertools.count()
        self.now_s = 0.0
        self.sent = []

    def open(self, name, elected):
        """Open a coordinator, whose VMs begin to send requests."""
        opened = coordinator.Coordinator(cold_bounds=BOUNDS)
        self._coordinators[name] = opened
        self._contacts[name] = contacts.Contact()
        self.elect(name, elected)
        self._confirmed_s[name] = None
        opened.handle(events.ServersChanged((cold_server(),)), self.now_s)
        self._demand(name)

    def elect(self, name, elected):
        """Change whether a coordinator is in charge by its view."""
        self._contacts[name].elect(elected, self.now_s)

    def cut(self, name):
        """Cut the VM of a coordinator off from the control group."""
        self._confirmed_s[name] = self.now_s

    def close(self, name):
        """End a coordinator; what it permitted may still be sent."""
        del self._coordinators[name]

    def run_until(self, end_s):
        """Play until a time."""
        while self._steps and self._steps[0][0] < end_s:
            self.now_s, _, step, arguments = heapq.heappop(self._steps)
            step(*arguments)
        self.now_s = end_s

    def _schedule(self, step, delay_s, *arguments):
        entry = (self.now_s + delay_s, next(self._numbers), step, arguments)
        heapq.heappush(self._steps, entry)

    def _demand(self, name):
        if name not in self._coordinators:
            return
        delay_s = self._draw.expovariate(self._requests_per_s)
        self._schedule(self._demand, delay_s, name)
        self._ask(name)

    def _ask(self, name):
        delay_s = self._draw.uniform(0.0, MAX_DELAY_S)
        self._schedule(self._decide, delay_s, name, self.now_s)

    def _decide(self, name, asked_s):
        if name not in self._coordinators:
            return
        deciding = self._coordinators[name]
        confirmed_s = self._confirmed_s[name]
        age_s = 0.0 if confirmed_s is None else self.now_s - confirmed_s
        for change in self._contacts[name].changes(age_s, self.now_s):
            deciding.handle(change, self.now_s)
        (decided,) = deciding.handle(cold_call(), self.now_s)
        match decided:
            case actions.GrantCall(wait_s=wait_s):
                delay_s = wait_s + self._draw.uniform(0.0, MAX_DELAY_S)
                if self._draw.random() < LATE_SHARE:
                    delay_s += self._draw.uniform(0.0, MAX_LATE_S)
                until_s = asked_s + wait_s + cold_pace.MAX_LATENESS_S
                self._schedule(self._send, delay_s, until_s)

    def _send(self, until_s):
        if self.now_s <= until_s:
            self.sent.append(self.now_s)
