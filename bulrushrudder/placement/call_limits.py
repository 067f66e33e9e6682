"""Decides which limited server of a plain service takes a call."""

from bulrushrudder.placement import actions


def decide(requested, limiter, return_times, now_s):
    """Return a GrantCall or a DeferCall for a CallRequested event.

    :param limiter: the RateLimiter of the service.
    :param return_times: the ReturnTimes of the service.
    :param now_s: monotonic seconds.
    """
    for limit in requested.limits:
        if not limiter.knows(limit.server, limit.incarnation):
            limiter.update(
                limit.server, limit.incarnation, limit.requests_per_s, now_s
            )
    waits = [
        (limiter.wait_s(limit.server, now_s), place, limit.server)
        for place, limit in enumerate(requested.limits)
    ]
    wait_s, _, server = min(waits)
    if wait_s > requested.max_wait_s:
        delay_s = max(wait_s, return_times.next_delay_s(0, now_s))
        return actions.DeferCall(requested.call, delay_s)
    limiter.take(server, now_s)
    return_times.record_grant(now_s)
    return actions.GrantCall(requested.call, server, wait_s)
