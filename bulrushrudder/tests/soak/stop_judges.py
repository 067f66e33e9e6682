"""Judges what clients and servers saw around planned stops."""

import dataclasses

from bulrushrudder.tests.soak import disruptions
from bulrushrudder.tests.soak import programs
from bulrushrudder.tests.soak import record

GRACE_S = programs.STOP_GRACE_S
LOSS_SLACK_S = 0.2
# Servers still at work on calls that were sent until the first time may be
# broken off in the last sixth of the grace period.
LONG_SENT_S = 3.0
LONG_WORK_S = GRACE_S * 5 / 6
PLANNED_S = GRACE_S + 1.0
REFUSAL_S = 0.5
NOT_READY_S = 1.0
# deploy/entry.yaml
BALANCER_S = 2.5
# A stop ends so long after its last call, which makes 4 s in all for a
# machine whose calls are quick.
LEAVE_S = 1.5
REFUSALS = (429, 503)
CUT = (record.Ending.CLOSED, record.Ending.RESET)
SIGKILLED = -9
SIGTERMED = -15


@dataclasses.dataclass(frozen=True, slots=True)
class Plays:
    """What was played.

    :param stops: the Stops of machines that clients reach.
    :param core_stops: the Stops of machines of the core.
    :param hangups: processes that got SIGHUP, and seconds.
    :param probes: the Probes.
    :param unplanned_s: seconds of unplanned disruptions.
    :param timeout_s: the timeout of a path's route; a function of the path.
    :param server_faults: whether servers misbehaved.
    :param misbehaves: whether some clients left their answers unread. A
        stop waits for these until shortly before it would be killed.
    """

    stops: tuple
    core_stops: tuple
    hangups: tuple
    probes: tuple
    unplanned_s: tuple
    timeout_s: object
    server_faults: bool = False
    misbehaves: bool = False


def judge(seen, plays):
    """Yield the Breaks of planned stops.

    :param seen: the Record.
    """
    calls = [sent for sent in seen.sent if sent.process]
    for call in calls:
        if _is_cut(seen, plays, call):
            yield from _judge_cut(seen, plays, call)
        yield from _judge_refusal(seen, plays, call)
        yield from _judge_silence(seen, plays, call)
    for stop in plays.stops:
        yield from _judge_end(stop)
        if not plays.misbehaves:
            yield from _judge_length(seen, plays, stop, calls)
        yield from _judge_readiness(plays, stop)
    for stop in plays.core_stops:
        yield from _judge_end(stop)


def served(seen, plays):
    """Return the share of attempts that were answered with 200.

    Refusals by processes that stop are left out: clients that go on get
    many.
    """
    owed = [
        call
        for call in seen.sent
        if call.status not in REFUSALS or not _is_stopping(plays, call)
    ]
    good = sum(call.status == 200 and call.whole for call in owed)
    return good / max(1, len(owed))


def _is_stopping(plays, call):
    """Return whether a process had been told to stop when a call ended."""
    return any(
        stop.process == call.process and stop.began_s < call.ended_s
        for stop in plays.stops
    )


def _is_cut(seen, plays, call):
    """Return whether a call ended without the answer that was owed."""
    if call.ending not in CUT or call.last_byte_s is None:
        return False
    if any(
        call.sent_s - disruptions.CONTACT_S < at_s < call.ended_s
        for at_s in plays.unplanned_s
    ):
        return False
    if _was_over(plays, call) or call.attempt in seen.broken_off:
        return False
    if _worked_long(seen, plays, call):
        return False
    passed_on = call.attempt in seen.arrived
    return passed_on or _waited_s(seen, call) > LOSS_SLACK_S


def _waited_s(seen, call):
    """Return for how long a caller waited, less what no program ran."""
    held_up_s = seen.held_up_s(call.process, call.due_s, call.ended_s)
    return call.ended_s - call.due_s - held_up_s


def _was_over(plays, call):
    """Return whether the deadline or the timeout was reached."""
    most_s = min(call.deadline_s, plays.timeout_s(call.path))
    return call.ended_s - call.sent_s >= most_s


def _worked_long(seen, plays, call):
    """Return whether a server was at work almost until the kill."""
    return any(
        call.last_byte_s <= stop.began_s + LONG_SENT_S
        and seen.worked_until_s(call.attempt) >= stop.began_s + LONG_WORK_S
        for stop in plays.stops
        if stop.process == call.process
    )


def _judge_cut(seen, plays, call):
    """Yield LOST around planned work, and CUT at other times.

    At other times, a process may end a stream whose server is silent.
    """
    if _is_around_planned_work(plays, call):
        yield record.Break('LOST', _cut(seen, call))
    elif not seen.were_servers_silent(call.sent_s, call.ended_s):
        yield record.Break('CUT', _cut(seen, call))


def _is_around_planned_work(plays, call):
    around_stop = any(
        stop.process == call.process
        and stop.began_s < call.ended_s
        and call.sent_s < stop.began_s + PLANNED_S
        for stop in plays.stops
    )
    around_hangup = any(
        process == call.process
        and call.sent_s < at_s + record.CONFIG_APPLY_S
        and at_s < call.ended_s
        for process, at_s in plays.hangups
    )
    return around_stop or around_hangup


def _cut(seen, call):
    return (
        f'{call.attempt} to {call.path} at {call.process}, sent '
        f'{call.sent_s:.3f} to {call.last_byte_s:.3f}, due from '
        f'{call.due_s:.3f}, {_way(seen, call)}, '
        f'{call.ending.value} at {call.ended_s:.3f}, status {call.status}'
    )


def _way(seen, call):
    return 'passed on' if call.attempt in seen.arrived else 'not passed on'


def _judge_refusal(seen, plays, call):
    """Yield a Break if a process that stops refuses a call late."""
    if call.status not in REFUSALS or call.due_s is None:
        return
    # Rejections by servers may have taken the time.
    if plays.server_faults and call.attempt in seen.arrived:
        return
    late_s = _waited_s(seen, call)
    if late_s > REFUSAL_S and _is_stopping(plays, call):
        yield record.Break(
            'LATE',
            f'{call.attempt} to {call.path} at {call.process} got '
            f'{call.status} {late_s:.3f} s after its last byte, at '
            f'{call.ended_s:.3f}',
        )


def _judge_silence(seen, plays, call):
    """Yield a Break if a call has no answer at its route's timeout."""
    if call.ending is not record.Ending.LEFT or call.status:
        return
    if call.due_s is None:
        return
    silent_s = call.ended_s - call.due_s
    if silent_s > plays.timeout_s(call.path) + REFUSAL_S:
        yield record.Break(
            'SILENT',
            f'{call.attempt} to {call.path} at {call.process}, sent '
            f'{call.sent_s:.3f}, {_way(seen, call)}, had no answer after '
            f'{silent_s:.3f} s',
        )


def _judge_end(stop):
    """Yield a Break if a process did not end by itself and in time."""
    took_s = stop.ended_s - stop.began_s
    if stop.exit_code == SIGKILLED:
        yield record.Break(
            'STOP', f'{stop.process} had to be killed after {took_s:.2f} s'
        )
    # A process that has just been started has no handler yet.
    elif stop.exit_code and (stop.was_ready or stop.exit_code != SIGTERMED):
        yield record.Break(
            'FAULT',
            f'{stop.process} ended {took_s:.2f} s after SIGTERM with exit '
            f'code {stop.exit_code}',
        )


def _judge_length(seen, plays, stop, calls):
    """Yield a Break if a stop goes on after its last call has ended."""
    closes_s = stop.began_s + BALANCER_S
    accepted_s = [
        call.ended_s
        for call in calls
        if call.process == stop.process and call.sent_s < closes_s
    ]
    last_s = max([closes_s, *accepted_s])
    held_up_s = seen.held_up_s(stop.process, last_s, stop.ended_s)
    if stop.ended_s > last_s + LEAVE_S + held_up_s:
        yield record.Break(
            'STOP',
            f'{stop.process} ended {stop.ended_s - stop.began_s:.2f} s after '
            f'SIGTERM; the last call sent before it closes ended after '
            f'{last_s - stop.began_s:.2f} s',
        )


def _judge_readiness(plays, stop):
    """Yield a Break if a process that stops says that it is ready."""
    for probe in plays.probes:
        if (
            probe.process == stop.process
            and stop.began_s + NOT_READY_S < probe.sent_s < stop.ended_s
            and probe.status == 200
        ):
            yield record.Break(
                'DRAIN',
                f'{stop.process} was ready '
                f'{probe.sent_s - stop.began_s:.2f} s after SIGTERM',
            )
            return
