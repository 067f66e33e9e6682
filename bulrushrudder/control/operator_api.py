"""The HTTP interface of a control process for operators."""

import asyncio
import dataclasses

from aiohttp import web
import pydantic
from returns import result

from bulrushrudder.config import document as document_config
from bulrushrudder.config import models
from bulrushrudder.config import rendering
from bulrushrudder.control import changes
from bulrushrudder.control import explanations
from bulrushrudder.control import zone_api
from bulrushrudder.documents import types
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.metrics import control as metrics_control
from bulrushrudder.state import results
from bulrushrudder.utils import authentication
from bulrushrudder.utils import web as web_utils

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
MAX_OPERATOR_CHARACTERS = 64
UNNAMED = 'unnamed'
RETRY_AFTER_S = '1'


class PromotionModel(models.Model):
    """Body of a promotion request."""

    version: int = pydantic.Field(ge=1)
    digest: document_config.KeyDigest


class OperatorApi:
    """Request handlers of the operators' interface.

    :param control: the ControlProcess.
    :param secret: secret with which operators authenticate.
    :param metrics: the ControlMetrics.
    """

    def __init__(self, control, secret, metrics):
        self._control = control
        self._secret = secret
        self._metrics = metrics
        self._changes = changes.DocumentChanges(control.node)
        self._explanations = explanations.Explanations(control)

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=MAX_DOCUMENT_BYTES,
            middlewares=[web_utils.json_errors, self._authenticate],
        )
        app.add_routes(
            [
                web.post('/documents/trial', self._submit),
                web.post('/documents/production', self._promote),
                web.get('/documents/{environment}', self._history),
                web.get('/documents/{environment}/content', self._content),
                web.get('/status', self._status),
                web.get('/explain', self._explain),
                *zone_api.ZoneApi(self._control.node, _operator_of).routes(),
            ]
        )
        return app

    @web.middleware
    async def _authenticate(self, request, handler):
        if not authentication.presents_secret(request, self._secret):
            self._metrics.count_denied()
            log.emit(catalogue.OPERATOR_DENIED, peer=str(request.remote))
            return _problem(401, 'the operators secret is wrong')
        return await handler(request)

    async def _submit(self, request):
        operator = _operator_of(request)
        source = await request.read()
        loaded = await document_config.load_async('document', source)
        match loaded:
            case result.Failure(errors):
                problems = [str(error) for error in errors]
                self._metrics.count_submission(
                    types.Environment.TRIAL,
                    metrics_control.SubmissionOutcome.INVALID,
                )
                return web.json_response(
                    {'problem': problems[0], 'problems': problems}, status=422
                )
            case result.Success(document):
                outcome = await self._changes.submit(
                    document, document_config.digest(source), operator
                )
                return self._respond(
                    types.Environment.TRIAL,
                    outcome,
                    document.version,
                    operator,
                )
        raise AssertionError(f'unreachable: loading gave {loaded!r}')

    async def _promote(self, request):
        operator = _operator_of(request)
        try:
            promotion = PromotionModel.model_validate_json(
                await request.read()
            )
        except pydantic.ValidationError as error:
            return _problem(422, web_utils.format_first_error(error))
        outcome = await self._changes.promote(
            promotion.version, promotion.digest, operator
        )
        return self._respond(
            types.Environment.PRODUCTION, outcome, promotion.version, operator
        )

    def _respond(self, environment, outcome, version, operator):
        self._metrics.count_submission(
            environment, _submission_result(outcome)
        )
        return _respond(outcome, version, operator)

    async def _history(self, request):
        environment = _environment_of(request)
        table = await self._current_documents()
        return web.json_response(
            [
                {
                    'version': entry.version,
                    'digest': entry.digest,
                    'operator': entry.operator,
                    'index': entry.index,
                }
                for entry in table.history_by_environment[environment]
            ]
        )

    async def _content(self, request):
        environment = _environment_of(request)
        table = await self._current_documents()
        latest = table.latest_entry(environment)
        if latest is None:
            return _problem(404, f'{environment.value} has no document yet')
        document = table.in_force(environment)
        response = web.StreamResponse(
            headers={
                'Content-Type': 'application/yaml; charset=utf-8',
                'X-Document-Digest': latest.digest,
            }
        )
        await response.prepare(request)
        for piece in rendering.iter_yaml(document):
            await response.write(piece.encode())
            await asyncio.sleep(0)
        await response.write_eof()
        return response

    async def _status(self, request):
        status = await self._control.status()
        if status is None:
            raise _no_majority()
        state = self._control.node.state
        return web.json_response(
            {
                **dataclasses.asdict(status),
                'servers': sorted(state.servers.by_id),
                'evacuated_zones': sorted(state.evacuations.zones),
            }
        )

    async def _explain(self, request):
        match await self._explanations.answer(dict(request.query)):
            case result.Success(content):
                return web.json_response(content)
            case result.Failure(unanswered):
                return _problem(unanswered.status, unanswered.problem)
        raise AssertionError('unreachable: neither an answer nor a problem')

    async def _current_documents(self):
        """Return the Documents after confirming that they are current.

        :raises HTTPServiceUnavailable: if no quorum confirms them.
        """
        if await self._control.node.read_index() is None:
            raise _no_majority()
        return self._control.node.state.documents


def _respond(outcome, version, operator):
    match outcome:
        case results.Accepted(index=index, repeated=repeated):
            log.emit(
                catalogue.DOCUMENT_ACCEPTED,
                version=version,
                index=index,
                operator=operator,
            )
            return web.json_response({'index': index, 'repeated': repeated})
        case results.Rejected(problem=problem, winner=winner):
            log.emit(
                catalogue.DOCUMENT_REFUSED, detail=problem, operator=operator
            )
            return web.json_response(
                {'problem': problem, 'winner': winner}, status=409
            )
        case results.Unavailable(problem=problem):
            return _problem(503, problem, {'Retry-After': RETRY_AFTER_S})
    raise AssertionError(f'unknown outcome {outcome!r}')


def _no_majority():
    return web.HTTPServiceUnavailable(
        text=changes.NO_MAJORITY, headers={'Retry-After': RETRY_AFTER_S}
    )


def _submission_result(outcome):
    match outcome:
        case results.Accepted(repeated=True):
            return metrics_control.SubmissionOutcome.REPEATED
        case results.Accepted():
            return metrics_control.SubmissionOutcome.ACCEPTED
        case results.Rejected():
            return metrics_control.SubmissionOutcome.REJECTED
    return metrics_control.SubmissionOutcome.UNAVAILABLE


def _problem(status, problem, headers=None):
    return web.json_response(
        {'problem': problem}, status=status, headers=headers
    )


def _operator_of(request):
    """Return the operator's name, from the X-Operator header.

    :raises HTTPUnprocessableEntity: if the name is empty, too long or
        not printable.
    """
    name = request.headers.get('X-Operator', UNNAMED)
    if not name.isprintable() or not 0 < len(name) <= MAX_OPERATOR_CHARACTERS:
        raise web.HTTPUnprocessableEntity(
            text='X-Operator: expected a name of 1 to '
            f'{MAX_OPERATOR_CHARACTERS} printable characters'
        )
    return name


def _environment_of(request):
    """Return the Environment named in the path.

    :raises HTTPNotFound: if no environment has that name.
    """
    name = request.match_info['environment']
    try:
        return types.Environment(name)
    except ValueError as error:
        raise web.HTTPNotFound(
            text=f'no environment {name!r}; expected trial or production'
        ) from error
