"""Counts and logs refusals and turns them into HTTP responses."""

import asyncio

from bulrushrudder.core import outcomes
from bulrushrudder.entry import answers
from bulrushrudder.events import catalogue
from bulrushrudder.events import log


class AnswerCutOff(ConnectionError):
    """An answer that has begun cannot be completed.

    aiohttp closes the connection, so that the caller sees an incomplete
    answer.
    """


def refuse(services, refusal, request_id, route):
    """Count and log a refusal.

    :param services: the SharedServices of this process.
    :param request_id: id of the request in logs and answers.
    :param route: id of the route, or 'none' if there is no route.
    :returns: the HTTP response.
    """
    record(services, refusal, request_id, route)
    return answers.refuse(refusal, request_id)


def from_exception(http_request, error, detail):
    """Log an unexpected exception and return a Refusal for it.

    :param error: the exception.
    :param detail: the part of the exception that may be logged.
    :raises AnswerCutOff: if the answer has begun.
    """
    log.emit(catalogue.UNEXPECTED, detail=detail)
    if http_request.writer.output_size > 0:
        raise AnswerCutOff(
            'the answer was cut off by an internal error'
        ) from error
    return outcomes.Refusal(
        outcomes.Reason.INTERNAL_ERROR,
        outcomes.Execution.UNKNOWN,
        'internal error; the log of the entry process has the details',
    )


def at_shutdown(http_request):
    """Return the Refusal of a call that the process could not finish.

    :raises AnswerCutOff: if the answer has begun.
    """
    if http_request.writer.output_size > 0:
        raise AnswerCutOff('the answer was cut off by a shutdown')
    return outcomes.Refusal(
        outcomes.Reason.SHUTTING_DOWN,
        outcomes.Execution.UNKNOWN,
        'this VM stopped before the call was answered',
    )


def record(services, refusal, request_id, route):
    """Count and log a refusal, with the index and age of the view.

    :param request_id: id of the request in logs.
    :param route: id of the route, or 'none' if there is no route.
    """
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
