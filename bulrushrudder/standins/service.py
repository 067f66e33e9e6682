"""A simulated HTTP service for trials and tests."""

import dataclasses

from aiohttp import web


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A call as the service received it."""

    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...]


class Service:
    """Records each call and answers with its number and body."""

    def __init__(self):
        self.calls: list[ReceivedCall] = []

    def application(self):
        """Return the aiohttp application."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self._answer)
        return app

    async def _answer(self, request):
        body = await request.read()
        self.calls.append(
            ReceivedCall(
                request.method,
                request.path_qs,
                body,
                tuple(request.headers.items()),
            )
        )
        return web.json_response(
            {'call': len(self.calls), 'body': body.decode()}, status=201
        )
