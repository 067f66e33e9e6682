"""Refuses requests that cannot be served before their callers leave."""

import math

from bulrushrudder.placement import fair_queue

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
    """Return whether a request surely gets no servers in time.

    It has to wait for the backlog of its own and of higher ranks, and at
    least for that of its own rank at the least share of it. One whose
    target can still be met may be served before the late ones, whatever
    their number.

    :param queued: the QueuedRequest, as counted by the queue.
    :param queue: the FairQueue.
    :param pace: the highest likely grants per second.
    """
    if queued.queue_class is not fair_queue.QueueClass.LATE:
        timely_s = _wait_s(queued, False, queue, pace, now_s)
        if now_s + timely_s <= min(queued.grant_by_s, queued.deadline_s):
            return False
    late_s = _wait_s(queued, True, queue, pace, now_s)
    return now_s + late_s > queued.deadline_s


def _wait_s(queued, late, queue, pace, now_s):
    queue_class = queued.queue_class
    if late:
        queue_class = fair_queue.QueueClass.LATE
    above = queue.backlog.above(queue_class, queued.rank)
    beside = queue.backlog.beside(queued, late)
    wait_s = (above + beside) / pace
    least_share = queue.shares.least_share(queued.rank, now_s)
    if above and least_share > 0.0:
        wait_s = min(wait_s, (beside + 1) / (pace * least_share))
    return wait_s
