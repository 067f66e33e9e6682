"""Refuses late requests that cannot be served before their callers leave."""

import math

from bulrushrudder.overload import return_times

# With fewer grants within the time over which the pace is measured, the
# pace is too uncertain to refuse by.
MIN_GRANTS = 10
# Margin of the pace for chance, in standard deviations.
CHANCE_DEVIATIONS = 2.0


def pace_bound(grants, window_s):
    """Return the highest likely pace of grants per second.

    :param grants: number of grants within the window.
    :returns: None if there were too few to tell.
    """
    if grants < MIN_GRANTS:
        return None
    return (grants + CHANCE_DEVIATIONS * math.sqrt(grants)) / window_s


def is_hopeless(queued, queue, pace, now_s):
    """Return whether a late request surely gets no servers in time.

    It has to wait for the backlog of its own and of higher ranks, or at
    least for that of its own rank at the least share of it.

    :param queued: the QueuedRequest, as counted by the queue.
    :param queue: the FairQueue.
    :param pace: the highest likely grants per second.
    """
    above = queue.backlog.above(queued.rank)
    beside = queue.backlog.beside(queued)
    wait_s = (above + beside) / pace
    least_share = queue.shares.least_share(queued.rank, now_s)
    if above and least_share > 0.0:
        wait_s = min(wait_s, (beside + 1) / (pace * least_share))
    return now_s + wait_s > queued.deadline_s


def hopeless(candidates, queue, times, now_s):
    """Yield the late requests that surely get no servers in time.

    Each one is removed from the queue before it is yielded.

    :param candidates: QueuedRequests that have become late.
    :param queue: the FairQueue.
    :param times: the ReturnTimes of the coordinator.
    """
    pace = pace_bound(times.recent_grants(now_s), return_times.PACE_WINDOW_S)
    if pace is None or not queue.shares.several:
        return
    for queued in candidates:
        # One whose caller came back goes before other late ones.
        if queued.queued_s >= queued.grant_by_s:
            continue
        if is_hopeless(queued, queue, pace, now_s):
            queue.remove(queued.request.hold)
            yield queued
