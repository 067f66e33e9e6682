"""The operators' HTTP interface of a control process."""

import hashlib
import hmac

from aiohttp import web
from returns import result

from bulrushrudder.config import document as document_config
from bulrushrudder.documents import types
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.state import documents as state_documents
from bulrushrudder.state import results

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024


def digest(source):
    """Return the digest of a document's bytes."""
    return 'sha256:' + hashlib.sha256(source).hexdigest()


class Operators:
    """Handlers of the operators' interface.

    :param control: the Control process.
    :param secret: what operators present.
    """

    def __init__(self, control, secret):
        self._control = control
        self._secret = secret

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=MAX_DOCUMENT_BYTES,
            middlewares=[self._authenticate],
        )
        app.add_routes(
            [
                web.post('/documents/trial', self._submit),
                web.post('/documents/production', self._promote),
                web.get('/documents/{environment}', self._history),
                web.get('/status', self._status),
            ]
        )
        return app

    @web.middleware
    async def _authenticate(self, request, handler):
        given = request.headers.get('Authorization', '')
        expected = b'Bearer ' + self._secret
        if not hmac.compare_digest(given.encode(), expected):
            problem = 'the operators secret is wrong'
            return web.json_response({'problem': problem}, status=401)
        return await handler(request)

    async def _submit(self, request):
        source = await request.read()
        match document_config.load('document', source):
            case result.Failure(errors):
                problems = [str(error) for error in errors]
                return web.json_response({'problems': problems}, status=422)
            case result.Success(document):
                command = state_documents.SubmitDocument(
                    types.Environment.TRIAL,
                    document,
                    digest(source),
                    request.headers.get('X-Operator', 'unnamed'),
                )
        return await self._propose(command)

    async def _promote(self, request):
        body = await request.json()
        command = state_documents.PromoteDocument(
            body['version'],
            body['digest'],
            request.headers.get('X-Operator', 'unnamed'),
        )
        return await self._propose(command)

    async def _propose(self, command):
        match await self._control.node.propose(command):
            case results.Accepted(index=index, repeated=repeated):
                log.emit(catalogue.DOCUMENT_ACCEPTED, index=index)
                return web.json_response(
                    {'index': index, 'repeated': repeated}
                )
            case results.Rejected(problem=problem, winner=winner):
                log.emit(catalogue.DOCUMENT_REFUSED, detail=problem)
                return web.json_response(
                    {'problem': problem, 'winner': winner}, status=409
                )
            case results.Unavailable(problem=problem):
                return web.json_response({'problem': problem}, status=503)

    async def _history(self, request):
        environment = types.Environment(request.match_info['environment'])
        history = self._control.node.state.documents.history_by_environment
        return web.json_response(
            [
                {
                    'version': version.document.version,
                    'digest': version.digest,
                    'operator': version.operator,
                    'index': version.index,
                }
                for version in history[environment]
            ]
        )

    async def _status(self, request):
        state = self._control.node.state
        return web.json_response(
            {
                'index': state.index,
                'vms': sorted(state.sessions.by_vm),
                'servers': sorted(state.servers.by_id),
            }
        )
