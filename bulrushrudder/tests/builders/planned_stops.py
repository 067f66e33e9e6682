"""Builders of what clients and servers saw around planned stops."""

import io
import signal

from bulrushrudder.tests.soak import record
from bulrushrudder.tests.soak import stop_judges
from bulrushrudder.tests.soak import stops

ATTEMPT = '00000000000000aa'
PROCESS = 'edge-1/1'
SERVER = 'pl-a-1'


def call(**changes):
    """Return an attempt that was cut off one second after SIGTERM."""
    fields = {
        'attempt': ATTEMPT,
        'path': '/book/1',
        'repeatable': False,
        'sent_s': 100.5,
        'ended_s': 101.0,
        'status': 0,
        'body': b'',
        'whole': False,
        'signature': '',
        'closed': False,
        'process': PROCESS,
        'last_byte_s': 100.5,
        'due_s': 100.5,
        'ending': record.Ending.CLOSED,
        'deadline_s': 7.0,
    }
    return record.Sent(**{**fields, **changes})


def stop(**changes):
    """Return a stop that began at 100 s and took 3 s."""
    fields = {
        'process': PROCESS,
        'began_s': 100.0,
        'was_ready': True,
        'ended_s': 103.0,
        'exit_code': 0,
    }
    return stops.Stop(**{**fields, **changes})


def killed(**changes):
    """Return a stop that ended by SIGKILL."""
    return stop(ended_s=108.0, exit_code=-signal.SIGKILL, **changes)


def probe(sent_s, status):
    """Return a question whether the process is ready."""
    return stops.Probe(PROCESS, sent_s, status)


class Seen(record.Record):
    """A record of one attempt, whose times are given.

    :param passed_on: whether the attempt reached a server.
    :param worked: seconds at which a server began and ended its work.
    """

    def __init__(self, sent, passed_on=True, worked=None):
        super().__init__(io.StringIO())
        self.sent.append(sent)
        self.time_s = 0.0
        if passed_on:
            self.arrived.add(sent.attempt)
        if worked is not None:
            began_s, self.time_s = worked
            run = record.Run(SERVER, 'plain', began_s, '', b'')
            self.add_run(sent.attempt, run)
            self.end_run(sent.attempt, SERVER)

    def now_s(self):
        """Return the seconds that were given."""
        return self.time_s


def judged(seen=None, sent=None, **changes):
    """Return the rules that are broken.

    :param seen: the Record; that of an attempt that was passed on if it is
        None.
    :param sent: the attempt if there is no Record.
    :param changes: fields of Plays; one stop otherwise.
    """
    seen = seen or Seen(sent or call())
    plays = _plays(**changes)
    return [broken.rule for broken in stop_judges.judge(seen, plays)]


def served(seen):
    """Return the share of attempts that were served beside one stop."""
    return stop_judges.served(seen, _plays())


def _plays(**changes):
    fields = {
        'stops': (stop(),),
        'core_stops': (),
        'hangups': (),
        'probes': (),
        'unplanned_s': (),
        'timeout_s': lambda path: 6.0,
    }
    return stop_judges.Plays(**{**fields, **changes})
