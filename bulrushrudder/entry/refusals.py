"""Counts and logs refusals and turns them into HTTP answers."""

import asyncio

from bulrushrudder.core import outcomes
from bulrushrudder.entry import answers
from bulrushrudder.events import catalogue
from bulrushrudder.events import log


def refuse(services, refusal, request_id, route):
    """Count and log a refusal.

    :param services: the Services of this process.
    :param route: id of the route, or none.
    :returns: the HTTP response.
    """
    note(services, refusal, request_id, route)
    return answers.refuse(refusal, request_id)


def unexpected(http_request, error, detail):
    """Log an error that nobody expected and return its Refusal.

    :param detail: what of the error may stand in the log.
    :raises ConnectionError: where the answer has begun; it must be cut.
    """
    log.emit(catalogue.UNEXPECTED, detail=detail)
    if http_request.writer.output_size > 0:
        raise ConnectionError('the answer was cut') from error
    return outcomes.Refusal(
        outcomes.Reason.INTERNAL_ERROR,
        outcomes.Execution.UNKNOWN,
        'an internal error, which is in the log',
    )


def note(services, refusal, request_id, route):
    """Count and log a refusal, with the view that it was decided from."""
    services.metrics.count_refusal(refusal.reason, route)
    event = catalogue.REQUEST_REFUSED
    if refusal.execution is not outcomes.Execution.NOT_RUN:
        event = catalogue.REQUEST_FAILED
    log.emit(
        event,
        request=request_id,
        route=route,
        reason=refusal.reason.name,
        execution=refusal.execution.value,
        view=services.view.index,
        view_age_ms=services.view.age_ms(asyncio.get_running_loop().time()),
    )
