"""Counts and logs refusals and turns them into HTTP answers."""

from bulrushrudder.core import outcomes
from bulrushrudder.entry import answers
from bulrushrudder.events import catalogue
from bulrushrudder.events import log


def refuse(metrics, refusal, request_id, route):
    """Count and log a refusal.

    :param route: id of the route, or none.
    :returns: the HTTP response.
    """
    note(metrics, refusal, request_id, route)
    return answers.refuse(refusal, request_id)


def note(metrics, refusal, request_id, route):
    """Count and log a refusal."""
    metrics.count_refusal(refusal.reason, route)
    event = catalogue.REQUEST_REFUSED
    if refusal.execution is not outcomes.Execution.NOT_RUN:
        event = catalogue.REQUEST_FAILED
    log.emit(
        event,
        request=request_id,
        route=route,
        reason=refusal.reason.name,
        execution=refusal.execution.value,
    )
