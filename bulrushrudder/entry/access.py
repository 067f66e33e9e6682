"""Ends requests in flight whose callers have lost access."""

import asyncio

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.entry import admission
from bulrushrudder.lifecycle import events

CHECK_INTERVAL_S = 0.25


class AccessMonitor:
    """Rechecks requests in flight against the document in force.

    A check runs when the document changes and when the view becomes fresh
    or stale.

    :param services: the SharedServices of this process.
    """

    def __init__(self, services):
        self._services = services
        self._checked_lookups = None
        self._was_fresh = True

    async def run(self):
        """Check for changes periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check()

    def _check(self):
        view = self._services.view
        now_s = asyncio.get_running_loop().time()
        view.observe_time(now_s)
        fresh = view.is_fresh(now_s)
        if view.lookups is self._checked_lookups and fresh == self._was_fresh:
            return
        self._checked_lookups = view.lookups
        self._was_fresh = fresh
        for running in tuple(self._services.running):
            self._check_request(running, view, now_s)

    def _check_request(self, running, view, now_s):
        lost = _find_loss(view, now_s, running.admitted)
        if lost is not None:
            running.interrupt(lost)


def loss_before(event, view, now_s, admitted):
    """Return the AccessLost that goes before an event, if any.

    A request may have been paused while it waited for a grant, and then
    goes on before the next periodic check.

    :param event: an event of the request.
    :param admitted: its AdmittedCall.
    :returns: a tuple of at most one event.
    """
    match event:
        case events.TokensGranted() | events.PlaceGranted():
            lost = _find_loss(view, now_s, admitted)
            return () if lost is None else (lost,)
    return ()


def _find_loss(view, now_s, admitted):
    match admission.check_again(view, now_s, admitted):
        case result.Failure(refusal):
            stale = refusal.reason is outcomes.Reason.VIEW_STALE
            cut = view.lookups.document.cut_on_withdrawal and not stale
            return events.AccessLost(refusal.reason, refusal.detail, cut)
    return None
