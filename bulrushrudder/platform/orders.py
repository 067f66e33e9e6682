"""Orders to the platform's runners.

What the product calls a server's kind is the runner's ``stage``; the
``sequence`` of a report counts the orders that the runner accepted, not
its heartbeats.
"""

import asyncio
import json

import pydantic
from returns import result

from bulrushrudder.control import kind_orders
from bulrushrudder.engines import connections
from bulrushrudder.platform import calls
from bulrushrudder.platform import headers

ANSWER_S = 1.5
_REPORT = '/bulrushrudder/report'
_ORDER = '/bulrushrudder/order'
_FENCED = 412


class ReportModel(pydantic.BaseModel):
    """What a runner says of its orders."""

    model_config = pydantic.ConfigDict(extra='ignore')

    busy: bool
    sequence: int


class OrderClient:
    """Carries orders to runners.

    :param kept: the Connections.
    """

    def __init__(self, kept):
        self._kept = kept

    async def order(self, server, order):
        """Have a runner change its stage.

        :param order: the Order.
        :returns: an OrderAccepted, OrderRefused or OrderOutcomeUnknown.
        """
        report = await self._report(server)
        if report is None:
            return kind_orders.OrderRefused('no report', False)
        if report.busy:
            return kind_orders.OrderRefused(
                'another order is in progress', False
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
        found = await self._ask(server, 'POST', _ORDER, body.encode())
        match found:
            case result.Success((status, _)) if status in (200, 202):
                return kind_orders.OrderAccepted()
            case result.Success((status, _)):
                return kind_orders.OrderRefused(
                    f'status {status}', status == _FENCED
                )
            case result.Failure(detail):
                return kind_orders.OrderOutcomeUnknown(detail)
        raise AssertionError('unreachable')

    async def _report(self, server):
        match await self._ask(server, 'GET', _REPORT, b''):
            case result.Success((200, body)):
                try:
                    return ReportModel.model_validate_json(body)
                except pydantic.ValidationError:
                    return None
        return None

    async def _ask(self, server, method, path, body):
        """Return the status and body of an answer, or a text."""
        pairs = [
            ('Host', f'{server.host}:{server.port}'),
            (headers.EXPECTED_RUN, server.run_id),
        ]
        if body:
            pairs.append(('Content-Type', 'application/json'))
        data = headers.call(method, path, pairs, body)
        try:
            async with asyncio.timeout(ANSWER_S):
                async with self._kept.call(server, data) as found:
                    return await _read(found)
        except TimeoutError:
            return result.Failure('no answer')


async def _read(found):
    match found:
        case result.Failure(problem):
            return result.Failure(problem.detail)
    head = await found.unwrap().part()
    if isinstance(head, connections.Problem):
        return result.Failure(head.detail)
    body = await calls.body_of(found.unwrap())
    match body:
        case result.Failure(failed):
            return result.Failure(failed.detail)
    return result.Success((head.status, body.unwrap()))
