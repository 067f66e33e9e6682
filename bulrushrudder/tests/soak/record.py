"""What clients, servers and the operator saw, and the rules it breaks."""

import collections
import dataclasses
import enum
import hashlib
import math
import time

from bulrushrudder.tests.soak import hold_ups

PROMISES = (408, 421, 429, 503)
CONFIG_APPLY_S = 2.0
# Faults of a server last at most this long.
TROUBLE_S = 5.0
MAX_CLOSED = 3
# A stream with such a pause is taken for a broken one.
SILENCE_S = 2.0
# Longer bodies are kept as a digest.
MAX_KEPT = 4096


class Ending(enum.Enum):
    """How a client's attempt ended."""

    ANSWERED = 'answered'
    LEFT = 'left by the client'
    CLOSED = 'closed without a whole answer'
    RESET = 'reset without a whole answer'


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A client's attempt.

    :param sent_s: seconds since the soak began.
    :param ended_s: seconds at which the client had its answer or left.
    :param status: 0 without an answer.
    :param closed: whether the connection, kept from an earlier request,
        ended before the answer did.
    :param process: the process that took the connection.
    :param last_byte_s: when the request had been sent; None if it was not
        sent as a whole.
    :param due_s: when it had been sent and the answer before it was read.
    :param deadline_s: seconds from sent_s on that the client waits.
    """

    attempt: str
    path: str
    repeatable: bool
    sent_s: float
    ended_s: float
    status: int
    body: bytes
    whole: bool
    signature: str
    closed: bool
    process: str = ''
    last_byte_s: float | None = None
    due_s: float | None = None
    ending: Ending = Ending.ANSWERED
    deadline_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run that a server began.

    :param body: the whole body of the answer.
    """

    server: str
    service: str
    began_s: float
    signature: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Break:
    """A broken rule."""

    rule: str
    detail: str


class Record:
    """Collects what was seen, and judges it.

    :param file: the text file that it writes to.

    :ivar sent: the Sent attempts of clients.
    :ivar troubles_by_server: seconds at which a server began or ceased to
        misbehave, started, left or ended.
    :ivar breaks: rules that were found broken while the soak ran.
    :ivar arrived: attempts that reached a server.
    :ivar broken_off: attempts at which a server ended the connection.
    """

    def __init__(self, file):
        self._file = file
        self._began_s = time.monotonic()
        self.sent = []
        self.troubles_by_server = collections.defaultdict(list)
        self._runs_by_attempt = collections.defaultdict(list)
        self.breaks = []
        self.arrived = set()
        self.broken_off = set()
        self._ends_by_run = {}
        self._hold_ups = []

    def now_s(self):
        """Return the seconds since the soak began."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line with the time."""
        self._file.write(f'{self.now_s():8.3f} s  {text}\n')

    def add_sent(self, sent):
        """Record a client's attempt with what it got."""
        self.sent.append(sent)
        due = '' if sent.due_s is None else f', due from {sent.due_s:.3f}'
        self.write(
            f'client: {sent.attempt} to {sent.path} sent at '
            f'{sent.sent_s:.3f}{due}: status {sent.status}, '
            f'{"whole" if sent.whole else "not whole"}, {sent.ending.value}'
            f' {sent.process}'
        )

    def add_arrival(self, attempt, server):
        """Record that an attempt reached a server."""
        self.arrived.add(attempt)
        self.write(f'{server}: gets {attempt}')

    def add_run(self, attempt, run):
        """Record that a server began to run an attempt."""
        self._runs_by_attempt[attempt].append(run)
        self.write(f'{run.server}: runs {attempt}')

    def end_run(self, attempt, server):
        """Record that a server is no longer at work on an attempt."""
        self._ends_by_run[attempt, server] = self.now_s()
        self.write(f'{server}: ends {attempt}')

    def worked_until_s(self, attempt):
        """Return when the last server ended its work on an attempt.

        :returns: seconds; 0 if there was none, infinity if it goes on.
        """
        return max(
            (
                self._ends_by_run.get((attempt, run.server), math.inf)
                for run in self.runs(attempt)
            ),
            default=0.0,
        )

    def add_hold_up(self, process, for_s):
        """Record that a process could not run until now."""
        now_s = self.now_s()
        self._hold_ups.append((process, now_s - for_s, now_s))
        self.write(f'{process}: held up for {for_s:.3f} s')

    def were_servers_silent(self, began_s, ended_s):
        """Return whether servers, which the soak runs, fell silent."""
        return any(
            process == hold_ups.SOAK
            and until_s - from_s > SILENCE_S
            and from_s < ended_s
            and began_s < until_s
            for process, from_s, until_s in self._hold_ups
        )

    def held_up_s(self, process, began_s, ended_s):
        """Return for how long a process or the soak was held up.

        :returns: seconds within the span, at most its length.
        """
        total_s = 0.0
        counted_until_s = began_s
        for held_up, from_s, until_s in sorted(
            self._hold_ups, key=lambda hold_up: hold_up[1]
        ):
            if held_up not in (process, hold_ups.SOAK):
                continue
            until_s = min(until_s, ended_s)
            total_s += max(0.0, until_s - max(from_s, counted_until_s))
            counted_until_s = max(counted_until_s, until_s)
        return total_s

    def most_held_up_s(self, began_s, ended_s):
        """Return for how long the process was that was held up most."""
        return max(
            (
                self.held_up_s(process, began_s, ended_s)
                for process in {process for process, _, _ in self._hold_ups}
            ),
            default=0.0,
        )

    def add_trouble(self, server, text):
        """Record that a server begins or ceases to misbehave."""
        self.troubles_by_server[server].append(self.now_s())
        self.write(f'{server}: {text}')

    def ran_soundly(self, sent):
        """Return whether an attempt ran at a server without any trouble."""
        runs = self._runs_by_attempt.get(sent.attempt, ())
        return bool(runs) and not any(
            run.began_s - TROUBLE_S < trouble_s < sent.ended_s
            for run in runs
            for trouble_s in self.troubles_by_server[run.server]
        )

    def add_break(self, rule, detail):
        """Record a broken rule."""
        self.breaks.append(Break(rule, detail))
        self.write(f'BROKEN {rule}: {detail}')

    def runs(self, attempt):
        """Return the Runs of an attempt."""
        return tuple(self._runs_by_attempt.get(attempt, ()))

    def judge(self):
        """Return the Breaks of the whole soak."""
        breaks = list(self.breaks)
        for sent in self.sent:
            breaks += self._judge_sent(sent)
        return breaks

    def judge_closed(self, is_calm):
        """Yield a Break if too many sound requests got no answer.

        :param is_calm: function of the seconds at which a request was sent
            and ended; whether all machines were in touch.
        """
        closed = [
            sent
            for sent in self.sent
            if sent.closed
            and is_calm(sent.sent_s, sent.ended_s)
            and self.ran_soundly(sent)
        ]
        if len(closed) > MAX_CLOSED:
            yield Break(
                'LOST',
                f'{len(closed)} requests at sound servers got no answer, '
                f'{closed[0].attempt} to {closed[0].path} among them',
            )

    def _judge_sent(self, sent):
        runs = self.runs(sent.attempt)
        where = f'{sent.attempt} to {sent.path}'
        if not sent.repeatable and len(runs) > 1:
            servers = ', '.join(run.server for run in runs)
            yield Break('TWICE', f'{where} ran at {servers}')
        if not sent.repeatable and runs and sent.status in PROMISES:
            detail = f'{where} was answered {sent.status} and ran'
            yield Break('REFUSED', f'{detail} at {runs[0].server}')
        if sent.status == 200 and sent.whole:
            answers = [(run.signature, run.body) for run in runs]
            if (sent.signature, sent.body) not in answers:
                yield Break('MIXED', f'{where} got another answer')


def condensed(body):
    """Return a body as it is kept, which may be a digest."""
    if len(body) <= MAX_KEPT:
        return body
    return hashlib.blake2b(body).digest()


def filler(attempt, size):
    """Return so many bytes that belong to an attempt."""
    pattern = f'{attempt} '.encode()
    return (pattern * (size // len(pattern) + 1))[:size]
