"""One server in virtual time that leaves, pauses and restarts at random."""

import random

from bulrushrudder.backpressure import statements
from bulrushrudder.backpressure import table
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet

STEP_S = 0.05
CROSSING_S = 0.5
MAX_PAUSE_S = 4.0


class StatingServer:
    """A server behind one VM; the server itself counts what breaks rules.

    Requests and answers take up to some steps, so that answers of an
    earlier incarnation arrive late, at the address of the next one.

    :param seed: of all random choices.
    :ivar late_after_leaving: requests sent after an answer had told the VM
        that the server leaves.
    :ivar most_in_pause: most requests that reached it in one pause, from
        CROSSING_S after its statement on.
    :ivar served: requests that it ran.
    """

    def __init__(self, seed):
        self._draw = random.Random(seed)
        self._now_s = 0.0
        self._incarnation = 1
        self._leaving = False
        self._told_s = None
        self._pause = None
        self._in_pause = 0
        self._answers = []
        self._requests = []
        self._servers = servers.Servers()
        self._table = table.StatementTable()
        self._index = 0
        self.late_after_leaving = 0
        self.most_in_pause = 0
        self.served = 0
        self._announce(self._incarnation)

    def run(self, steps):
        """Play a number of steps."""
        for _ in range(steps):
            self._now_s += STEP_S
            self._receive_answers()
            self._change()
            if self._draw.random() < 0.5:
                self._send()
            self._receive_requests()

    def _change(self):
        kind = self._draw.random()
        if kind < 0.004:
            self._leaving = True
        elif kind < 0.008:
            self._restart()
        elif kind < 0.02:
            late = self._draw.randint(0, 1)
            self._announce(max(1, self._incarnation - late))

    def _restart(self):
        self._incarnation += 1
        self._leaving = False
        self._told_s = None
        self._pause = None
        self._announce(self._incarnation)

    def _announce(self, incarnation):
        """Let an announcement that says ready reach the log."""
        self._index += 1
        joined = servers.JoinServer(fleet.server(incarnation=incarnation))
        self._servers.apply(self._index, joined)

    def _send(self):
        for server in self._servers.by_id.values():
            if self._table.takes_work(server, self._now_s):
                self._requests.append((self._arrival_s(), server, self._now_s))

    def _receive_requests(self):
        due = [r for r in self._requests if r[0] <= self._now_s]
        self._requests = [r for r in self._requests if r[0] > self._now_s]
        for _, server, sent_s in due:
            if server.incarnation != self._incarnation:
                continue
            self._count(sent_s)
            self._answers.append(
                (self._arrival_s(), server, sent_s, self._stated())
            )

    def _count(self, sent_s):
        if self._told_s is not None and sent_s > self._told_s:
            self.late_after_leaving += 1
        if self._pause is None or self._now_s >= self._pause[1]:
            self._pause = None
            self.served += 1
            return
        if self._now_s > self._pause[0] + CROSSING_S:
            self._in_pause += 1
            self.most_in_pause = max(self.most_in_pause, self._in_pause)

    def _stated(self):
        if self._leaving:
            return (statements.Leaving(),)
        if self._pause is None and self._draw.random() < 0.05:
            pause_s = self._draw.uniform(0.0, MAX_PAUSE_S)
            self._pause = self._now_s, self._now_s + pause_s
            self._in_pause = 0
            return (statements.Pause(pause_s),)
        return (statements.RateLimit(None),)

    def _receive_answers(self):
        due = [a for a in self._answers if a[0] <= self._now_s]
        self._answers = [a for a in self._answers if a[0] > self._now_s]
        for _, server, sent_s, stated in due:
            answer = statements.Answer(sent_s, self._now_s, stated)
            told = stated == (statements.Leaving(),)
            if told and server.incarnation == self._incarnation:
                self._told_s = self._told_s or self._now_s
            changes = self._table.record(server, answer)
            if table.LeavingStated() in changes:
                self._index += 1
                left = servers.LeaveServer(server.id, server.incarnation)
                self._servers.apply(self._index, left)

    def _arrival_s(self):
        return self._now_s + self._draw.randint(1, 4) * STEP_S
