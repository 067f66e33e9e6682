"""How long programs take to start, from their logs."""

import datetime
import json
import math

CONTROL_STARTED = 2001


def of(machine):
    """Yield when a program was started, and when it had started.

    :returns: pairs of seconds since the soak began; starts that did not
        come to an end are left out.
    """
    lines = _started_lines(machine)
    nexts = [*machine.start_times[1:], (0.0, math.inf)]
    for (at_s, at), (_, until) in zip(machine.start_times, nexts, strict=True):
        for started in lines:
            if at <= started < until:
                yield at_s, at_s + started - at


def last_s(machine):
    """Return when the last start had come to its end, or None."""
    at_s, _ = machine.start_times[-1]
    return next((end_s for s, end_s in of(machine) if s == at_s), None)


def _started_lines(machine):
    """Return the times of day at which the log says that it has started."""
    with open(machine.log, encoding='utf-8', errors='replace') as log:
        return [
            datetime.datetime.fromisoformat(
                json.loads(line)['time']
            ).timestamp()
            for line in log
            if f'"event": {CONTROL_STARTED},' in line
        ]
