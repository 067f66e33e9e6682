"""Finds the process that decides on a request, and asks it to explain."""

import dataclasses

import pydantic
from returns import result

from bulrushrudder.config import models
from bulrushrudder.config import settings
from bulrushrudder.control import changes
from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.core import ranking
from bulrushrudder.documents import types
from bulrushrudder.protocol import explain_messages
from bulrushrudder.protocol import place_messages
from bulrushrudder.utils import web as web_utils

# A process of the previous build does not answer. Explaining takes some
# 100 ms; the rest is for a link that has to be opened.
ANSWER_TIMEOUT_S = 3.0
ROLE_PREFIX = 'model/'


class Question(models.Model):
    """The query of an operator who asks for an explanation.

    :param target: id or path of a route, or id of a model or service.
    :param tokens: of the prompt.
    :param output_tokens: bound on the answer.
    :param vm: the VM whose caller asks.
    """

    account: str = pydantic.Field(min_length=1)
    target: str = pydantic.Field(min_length=1)
    tokens: int = pydantic.Field(ge=1)
    output_tokens: int = pydantic.Field(default=256, ge=1)
    vm: str = ''
    environment: types.Environment = types.Environment.PRODUCTION

    model_config = pydantic.ConfigDict(strict=False, extra='forbid')


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """Why a question gets no answer, with an HTTP status."""

    status: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Pool:
    """A pool that may serve the request.

    :param has_engines: whether it is a model with prefill and decode
        servers rather than a plain service.
    """

    id: str
    has_engines: bool


class Explanations:
    """Answers questions of operators on what would become of a request.

    :param control: the ControlProcess.
    """

    def __init__(self, control):
        self._control = control

    async def answer(self, query):
        """Answer a question.

        :param query: the parameters of the question by name.
        :returns: a Result with the content of the answer, or with an
            Unanswered.
        """
        try:
            question = Question.model_validate(query)
        except pydantic.ValidationError as error:
            return _unanswered(422, web_utils.format_first_error(error))
        if await self._control.node.read_index() is None:
            return _unanswered(503, changes.NO_MAJORITY)
        state = self._control.node.state
        lookups = state.documents.lookups(question.environment)
        account = lookups.accounts_by_id.get(question.account)
        if account is None:
            return _unanswered(404, f'no account {question.account!r}')
        route = _route_of(lookups.document, question.target)
        pools = _pools(lookups, state.servers, route, question.target)
        if not pools:
            return _unanswered(404, f'no route or model {question.target!r}')
        content = {
            'account': account.id,
            'route': route.id if route else None,
            'rejected': _rejection(account, route, question),
            'pools': [],
        }
        for pool in pools:
            match await self._ask(pool, question, account, route):
                case result.Failure(unanswered):
                    return result.Failure(unanswered)
                case result.Success(explained):
                    content['pools'].append(_content(pool, explained))
        return result.Success(content)

    async def _ask(self, pool, question, account, route):
        """Ask the VM that decides for a pool.

        :returns: a Result with the Explained message, or an Unanswered.
        """
        sessions = self._control.node.state.sessions
        if question.vm and question.vm not in sessions.by_vm:
            return _unanswered(404, f'no VM {question.vm!r} has a session')
        decider = question.vm
        if pool.has_engines or not decider:
            decider = ranking.choose(
                f'{ROLE_PREFIX}{pool.id}', sessions.hosts_by_vm
            )
        if decider is None:
            return _unanswered(503, 'no entry VM has a session')
        session = sessions.by_vm[decider]
        caller = sessions.by_vm[question.vm or decider]
        request = explain_messages.ExplainRequest(
            pool.id,
            _place_request(pool, question, account, route, caller.owner),
        )
        answer = await self._control.peers.ask(
            settings.Address(session.address, session.port),
            request,
            ANSWER_TIMEOUT_S,
        )
        match answer:
            case result.Success(explain_messages.Explained() as explained):
                return result.Success(explained)
        return _unanswered(
            503,
            f'{decider} decides for {pool.id} and did not answer within '
            f'{ANSWER_TIMEOUT_S:g} s: it cannot be reached, or runs an '
            'earlier build that cannot explain',
        )


def _route_of(document, target):
    for route in document.routes:
        if target in (route.id, route.path):
            return route
    return None


def _pools(lookups, servers, route, target):
    """Return the pools that may serve a request, none if it is unknown."""
    if route is None:
        known = {*lookups.models_by_id, *lookups.services_by_id}
        return [_pool(servers, target)] if target in known else []
    match route.target:
        case types.ModelTarget(model=model):
            return [_Pool(model, True)]
        case types.ServiceTarget(service=service):
            return [_Pool(service, False)]
        case types.SplitTarget(shares=shares):
            return [_pool(servers, share.service) for share in shares]
    raise AssertionError(f'unknown target {route.target!r}')


def _pool(servers, pool_id):
    """Return a pool whose kind follows from its servers."""
    known = (
        *servers.by_served.get(pool_id, {}).values(),
        *servers.evacuated_by_served.get(pool_id, {}).values(),
    )
    return _Pool(pool_id, all(s.kind != 'service' for s in known))


def _rejection(account, route, question):
    """Return the reason for which a request is rejected at once, or None."""
    allowed = route.accounts if route is not None and not route.open else ()
    if allowed and account.id not in allowed:
        return outcomes.Reason.ROUTE_FORBIDDEN.name
    if question.tokens + question.output_tokens > account.burst:
        return outcomes.Reason.COST_ABOVE_BURST.name
    return None


def _place_request(pool, question, account, route, owner):
    """Return the PlaceRequest of a request, None for a plain service."""
    if not pool.has_engines:
        return None
    urgency = route.urgency if route else types.Urgency.INTERACTIVE
    return place_messages.PlaceRequest(
        request=ids.RequestId('explain'),
        owner=owner,
        account=account.id,
        model=ids.ModelId(pool.id),
        prompt_tokens=question.tokens,
        output_tokens=question.output_tokens,
        interactive=urgency is types.Urgency.INTERACTIVE,
        patience_s=route.patience_s if route else ANSWER_TIMEOUT_S,
        # No request of a process has this number.
        number=-1,
        rank=_rank(account, route),
        target_s=_target_s(route),
    )


def _rank(account, route):
    """Return the rank of the account, or else of the route, or None."""
    if account.rank is not None or route is None:
        return account.rank
    match route.target:
        case types.SplitTarget(rank=rank):
            return rank
    return None


def _target_s(route):
    """Return the seconds to the answer that a split route aims at."""
    if route is not None:
        match route.target:
            case types.SplitTarget(answer_s=answer_s):
                return answer_s
    return None


def _content(pool, explained):
    """Return an explanation in the form of JSON."""
    explanation = explained.explanation
    reason = explanation.reason
    refused = outcomes.Reason(reason).name if reason else None
    return {
        'pool': pool.id,
        'vm': explained.vm,
        'view_index': explained.view_index,
        'view_age_s': explained.view_age_s,
        'fate': explanation.fate.value,
        'reason': refused,
        'retry_after_s': explanation.retry_after_s if reason else None,
        'queued': explanation.queued,
        'candidates': [
            {
                'server': candidate.server,
                'kind': candidate.kind,
                'zone': candidate.zone,
                'chosen': candidate.chosen,
                'why_not': candidate.why,
                'age_s': candidate.age_s,
                'figures': {f.name: f.value for f in candidate.figures},
            }
            for candidate in explanation.candidates
        ],
    }


def _unanswered(status, problem):
    return result.Failure(Unanswered(status, problem))
