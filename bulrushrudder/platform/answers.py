"""HTTP responses to the platform's clients.

A status of 429 or 503 guarantees that the call has not run and never
will; 502 and 504 guarantee nothing.
"""

import asyncio

from aiohttp import web

from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import actions
from bulrushrudder.platform import headers
from bulrushrudder.utils import paced_response
from bulrushrudder.utils import sockets

# Clients abandon a stream well before this.
CLIENT_STALL_TIMEOUT_S = 20.0
MAX_UNSENT_BYTES = 16 * 1024
DEFAULT_RETRY_AFTER_S = 0.5
_CLIENT_ERROR_STATUS = {
    outcomes.Reason.MALFORMED_REQUEST: 400,
    outcomes.Reason.BODY_TOO_LARGE: 413,
    outcomes.Reason.BODY_TOO_SLOW: 408,
    outcomes.Reason.HEADERS_TOO_LARGE: 431,
    outcomes.Reason.ROUTE_UNKNOWN: 404,
    outcomes.Reason.KEY_MISSING: 401,
    outcomes.Reason.KEY_UNKNOWN: 401,
    outcomes.Reason.ROUTE_FORBIDDEN: 403,
}
_RATE_LIMIT_REASONS = frozenset(
    {
        outcomes.Reason.OVER_RATE,
        outcomes.Reason.INSIDE_RATE,
        outcomes.Reason.COST_ABOVE_BURST,
    }
)
_TIMEOUT_REASONS = frozenset(
    {outcomes.Reason.BACKEND_SILENT, outcomes.Reason.DEADLINE_PASSED}
)


def refuse(refusal, attempt):
    """Return the response that reports a refusal.

    :param attempt: the client's attempt id, or None if unknown.
    """
    status = _status(refusal)
    response_headers = {headers.ATTEMPT: attempt} if attempt else {}
    if status in (429, 503):
        wait_s = refusal.retry_after_s or DEFAULT_RETRY_AFTER_S
        response_headers['Retry-After'] = f'{wait_s:.2f}'
    return web.json_response(
        {'reason': refusal.reason.name, 'detail': refusal.detail},
        status=status,
        headers=response_headers,
    )


def complete(answer):
    """Return the response for a complete answer of a runner.

    :param answer: an Answer; its headers alternate names and values.
    """
    pairs = zip(answer.headers[::2], answer.headers[1::2], strict=True)
    response_headers = headers.returned_headers(tuple(pairs))
    return paced_response.PacedResponse(
        status=answer.status, body=answer.body, headers=response_headers
    )


def _status(refusal):
    if refusal.reason in _CLIENT_ERROR_STATUS:
        return _CLIENT_ERROR_STATUS[refusal.reason]
    if refusal.execution is outcomes.Execution.NOT_RUN:
        return 429 if refusal.reason in _RATE_LIMIT_REASONS else 503
    return 504 if refusal.reason in _TIMEOUT_REASONS else 502


class RelayedAnswer:
    """Relays a runner's stream to the client as it arrives.

    :param http_request: the aiohttp request.
    :param attempt: the client's attempt id.
    :ivar on_caller_gone: function called when the client has disconnected
        or has not read for CLIENT_STALL_TIMEOUT_S.
    :ivar response: the HTTP response; None until it is started.
    :ivar refusal: the Refusal if the request failed, else None.
    """

    def __init__(self, http_request, attempt):
        self._http_request = http_request
        self._attempt = attempt
        self.on_caller_gone = None
        self.response = None
        self.refusal = None

    async def begin(self, head):
        """Start the response with the status and headers of a runner.

        :param head: the Head of the runner's answer.
        """
        response_headers = headers.returned_headers(head.headers)
        self.response = web.StreamResponse(
            status=head.status, headers=response_headers
        )
        transport = self._http_request.transport
        if transport is not None:
            sockets.limit_send_buffer(transport, MAX_UNSENT_BYTES)
        await self._send_or_report_gone(
            self.response.prepare(self._http_request)
        )

    async def relay(self, relay_actions):
        """Write the texts of Relay actions."""
        data = b''.join([action.text for action in relay_actions])
        await self._send_or_report_gone(self.response.write(data))

    async def end(self, action):
        """End the response for a Complete or Refuse action."""
        match action:
            case actions.Complete():
                await self._send_or_report_gone(self.response.write_eof())
            case actions.Refuse(refusal=refusal):
                self._refuse(refusal)

    def _refuse(self, refusal):
        self.refusal = refusal
        if self.response is None:
            self.response = refuse(refusal, self._attempt)
            return
        # Without the final chunk, the client sees that the stream is cut.
        transport = self._http_request.transport
        if transport is not None:
            transport.abort()

    async def _send_or_report_gone(self, sending):
        try:
            async with asyncio.timeout(CLIENT_STALL_TIMEOUT_S):
                await sending
        except (ConnectionError, TimeoutError):
            self.on_caller_gone()
