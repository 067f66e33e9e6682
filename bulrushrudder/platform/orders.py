"""Sends orders to the platform's runners.

The kind of a server is called ``stage`` on the wire. The ``sequence`` of
a report counts the orders that the runner has accepted, not its
heartbeats.
"""

import asyncio
import json
import math

import pydantic
from returns import result

from bulrushrudder.control import kind_orders
from bulrushrudder.engines import responses
from bulrushrudder.platform import calls
from bulrushrudder.platform import headers

ANSWER_TIMEOUT_S = 1.5
_REPORT_PATH = '/bulrushrudder/report'
_ORDER_PATH = '/bulrushrudder/order'
_FENCED_STATUS = 412


class ReportModel(pydantic.BaseModel):
    """A runner's report on its orders."""

    model_config = pydantic.ConfigDict(extra='ignore')

    busy: bool
    sequence: int


class OrderClient:
    """Sends orders to runners.

    :param pool: the ConnectionPool.
    """

    def __init__(self, pool):
        self._pool = pool

    async def order(self, server, order):
        """Order a runner to change its stage.

        :param order: the Order.
        :returns: an OrderAccepted, OrderRefused or OrderOutcomeUnknown.
        """
        report = await self._fetch_report(server)
        if report is None:
            return kind_orders.OrderRefused(
                'runner sent no valid report', False
            )
        if report.busy:
            return kind_orders.OrderRefused(
                'runner is busy with another order', False
            )
        body = json.dumps(
            {
                'opcode': 'stage',
                'stage': order.kind,
                'holder': order.holder,
                'fencing_token': order.fence,
                'expect': report.sequence,
            }
        )
        answer = await self._request(
            server, 'POST', _ORDER_PATH, body.encode(), order.expires_s
        )
        match answer:
            case result.Success((status, _)) if status in (200, 202):
                return kind_orders.OrderAccepted()
            case result.Success((status, _)):
                return kind_orders.OrderRefused(
                    f'runner refused the order, status {status}',
                    status == _FENCED_STATUS,
                )
            case result.Failure(
                responses.Problem(
                    kind=responses.ProblemKind.EXPIRED, detail=detail
                )
            ):
                return kind_orders.OrderRefused(detail, False)
            case result.Failure(responses.Problem(detail=detail)):
                return kind_orders.OrderOutcomeUnknown(detail)
        raise AssertionError('unreachable: order neither answered nor failed')

    async def _fetch_report(self, server):
        match await self._request(server, 'GET', _REPORT_PATH, b''):
            case result.Success((200, body)):
                try:
                    return ReportModel.model_validate_json(body)
                except pydantic.ValidationError:
                    return None
        return None

    async def _request(self, server, method, path, body, expires_s=math.inf):
        """Return the status and body of an answer, or a Problem.

        Answers to reports and orders have no id, so each is read from a
        connection of its own, on which no copy of another one can arrive.

        :param expires_s: seconds of the loop's clock after which it must
            not be sent.
        """
        pairs = [
            ('Host', f'{server.host}:{server.port}'),
            (headers.EXPECTED_INSTANCE, server.run_id),
        ]
        if body:
            pairs.append(('Content-Type', 'application/json'))
        call = responses.Call(
            headers.encode_request(method, path, pairs, body),
            expires_s=expires_s,
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                async with self._pool.call(server, call, 0.0) as opened:
                    return await _read_response(opened)
        except TimeoutError:
            return _broken(f'no answer in {ANSWER_TIMEOUT_S} s')


async def _read_response(opened):
    match opened:
        case result.Failure(problem):
            return result.Failure(problem)
    head = await opened.unwrap().part()
    if isinstance(head, responses.Problem):
        return result.Failure(head)
    body = await calls.read_body(opened.unwrap())
    match body:
        case result.Failure(failed):
            return _broken(failed.detail)
    return result.Success((head.status, body.unwrap()))


def _broken(detail):
    """Return the Problem of a request that may have been received."""
    broken = responses.ProblemKind.BROKEN
    return result.Failure(responses.Problem(broken, detail, sent=True))
