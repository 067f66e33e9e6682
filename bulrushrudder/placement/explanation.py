"""Says what would become of a request now, without any effect.

The decision code runs on a copy of the state, so that nothing is booked,
spent or counted, and the answer cannot differ from the decision.
"""

import dataclasses
import enum
import math
import pickle

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.placement import actions
from bulrushrudder.placement import choice

# More than the servers of one pool; bounds the size of the message.
MAX_CANDIDATES = 500


class Fate(enum.Enum):
    """What would become of a request."""

    GRANTED = 'granted'
    QUEUED = 'queued'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A number that the decision rests on."""

    name: str
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server and why it would be chosen or not.

    :param age_s: seconds since its speed was measured or reported; None if
        it never was.
    :param why: why it is not chosen; empty for a chosen one.
    """

    server: ids.ServerId
    kind: str
    zone: ids.Zone
    chosen: bool
    why: str
    age_s: float | None
    figures: tuple[Figure, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What would become of a request, and why.

    :param reason: number of the Reason of a refusal, 0 without one.
    :param retry_after_s: when a refused caller should come back.
    :param queued: requests that are in the queue now.
    """

    fate: Fate
    candidates: tuple[Candidate, ...] = ()
    reason: int = 0
    retry_after_s: float = 0.0
    queued: int = 0


def explain(coordinator, request, changes, now_s):
    """Explain what a coordinator would decide on a request.

    :param coordinator: the Coordinator, which stays as it is.
    :param request: the PlacementRequested event.
    :param changes: events of what the coordinator has not seen yet.
    :returns: an Explanation.
    """
    trial, before = _copies(coordinator, 2)
    for change in changes:
        trial.handle(change, now_s)
        before.handle(change, now_s)
    before.zones.arrived(request, now_s)
    queued = trial.queue_length
    decided = None
    for action in trial.handle(request, now_s):
        match action:
            case actions.Grant() | actions.Refuse() if (
                action.call == request.call
            ):
                decided = action
    chosen = frozenset()
    match decided:
        case actions.Grant(prefill=prefill, decode=decode):
            chosen = frozenset((prefill, decode))
    candidates = _candidates(before, request, chosen, now_s)
    match decided:
        case actions.Grant():
            return Explanation(Fate.GRANTED, candidates, queued=queued)
        case actions.Refuse():
            return Explanation(
                Fate.REFUSED,
                candidates,
                int(decided.reason),
                decided.retry_after_s,
                queued,
            )
    return Explanation(Fate.QUEUED, candidates, queued=queued)


def explain_service(selector, servers, requests_per_s, unavailable, now_s):
    """Explain which server of a plain service a VM would choose.

    :param selector: the ServerSelector, which stays as it is.
    :param servers: the BackendServers of the service.
    :param requests_per_s: function of a server that returns its limit.
    :param unavailable: ids of servers that take no call.
    """
    (trial,) = _copies(selector, 1)
    trial.update_servers(servers)
    ranked = trial.ranked(now_s, (), unavailable)
    first = ranked[0] if ranked else None
    candidates = tuple(
        Candidate(
            server.id,
            server.kind,
            server.zone,
            server.id == first,
            _why_not_called(server.id, ranked, unavailable),
            0.0,
            (
                Figure('calls', trial.calls(server.id)),
                *_limit_figures(requests_per_s(server)),
            ),
        )
        for server in sorted(servers, key=lambda s: s.id)[:MAX_CANDIDATES]
    )
    if first is None:
        reason = int(outcomes.Reason.NO_SERVER)
        return Explanation(Fate.REFUSED, candidates, reason, 1.0)
    return Explanation(Fate.GRANTED, candidates)


def _copies(state, count):
    """Return copies of some state of this process.

    Pickling takes a quarter of the time of `copy.deepcopy`, in which the
    process does nothing else. What is read back is only what was written
    here.
    """
    data = pickle.dumps(state, pickle.HIGHEST_PROTOCOL)
    return [pickle.loads(data) for _ in range(count)]


def _limit_figures(requests_per_s):
    if requests_per_s is None:
        return ()
    return (Figure('requests_per_s', requests_per_s),)


def _why_not_called(server_id, ranked, unavailable):
    if server_id in ranked[:1]:
        return ''
    if server_id in unavailable:
        return 'asked for a pause or is leaving'
    if server_id in ranked:
        return 'more calls of this VM, or another zone'
    return 'others of its zone have fewer calls, or it failed lately'


def _candidates(coordinator, request, chosen, now_s):
    """Return a Candidate for each server of the pool."""
    prefills, decodes = coordinator.pools
    constraints = coordinator.constraints(request, now_s)
    options = choice.placements(request, prefills, decodes, constraints, now_s)
    if isinstance(options, choice.Blocked):
        options = []
    cost_by_id = {}
    for option in options:
        cost_s = choice.cost(option, request, constraints, now_s)[0]
        if option.prefill is not None:
            # Costs of placements contain the time of the first token.
            cost_s -= now_s
            _lower(cost_by_id, option.prefill.prefill_server.server.id, cost_s)
        _lower(cost_by_id, option.decode.server.id, cost_s)
    found = [
        _prefill(known, constraints, now_s)
        for known in prefills.by_id.values()
    ] + [
        _decode(known, request, decodes, constraints, now_s)
        for known in decodes.by_id.values()
        if known.present
    ]
    return tuple(
        _candidate(coordinator, item, cost_by_id, chosen, now_s)
        for item in sorted(found, key=lambda item: item[0].id)[:MAX_CANDIDATES]
    )


def _lower(cost_by_id, server_id, cost_s):
    cost_by_id[server_id] = min(cost_by_id.get(server_id, math.inf), cost_s)


def _candidate(coordinator, item, cost_by_id, chosen, now_s):
    server, obstacle, figures = item
    cost_s = cost_by_id.get(server.id)
    if server.id in chosen:
        why = ''
    elif obstacle:
        why = obstacle
    elif cost_s is None:
        why = 'no partner for it now, or others of its zone are freer'
    else:
        why = 'costs more'
    if cost_s is not None:
        figures = (*figures, Figure('cost_s', cost_s))
    return Candidate(
        server.id,
        server.kind,
        server.zone,
        server.id in chosen,
        why,
        coordinator.ages.age_s(server.id, now_s),
        figures,
    )


def _prefill(known, constraints, now_s):
    """Return a prefill server, what stands against it, and its figures."""
    busy_s = max(0.0, max(known.free_s, known.isolated_until_s) - now_s)
    paused_s = max(0.0, known.paused_until_s - now_s)
    limit_s = constraints.limiter.wait_s(known.server.id, now_s)
    obstacle = ''
    if limit_s > 0:
        obstacle = 'its limit of requests, or it is cold'
    elif busy_s > constraints.max_prefill_wait_s:
        obstacle = 'busy with prefills'
    elif paused_s > constraints.max_prefill_wait_s:
        obstacle = 'paused after a failure'
    return (
        known.server,
        obstacle,
        (
            Figure('busy_s', busy_s),
            Figure('paused_s', paused_s),
            Figure('tokens_per_s', known.tokens_per_s),
            Figure('link_busy_s', max(0.0, known.link_free_s - now_s)),
        ),
    )


def _decode(known, request, pool, constraints, now_s):
    """Return a decode server, what stands against it, and its figures."""
    obstacle = ''
    if constraints.limiter.wait_s(known.server.id, now_s) > 0:
        obstacle = 'its limit of requests, or it is cold'
    elif known.server.id in constraints.claimed:
        obstacle = 'kept for a request that must run alone'
    elif not known.can_share(request.isolation):
        obstacle = 'runs a request that must run alone'
    elif not known.has_memory(request, constraints.spare_pieces, now_s):
        obstacle = 'no memory'
    elif not pool.fits(known, request, 0.0):
        obstacle = 'no place'
    return (
        known.server,
        obstacle,
        (
            Figure('held_places', known.held_places),
            Figure('places', known.request_limit(request.between_tokens_s)),
            Figure('held_pieces', known.held_pieces),
            Figure('memory_pieces', known.memory_pieces),
            Figure('fill_share', known.fill_share),
            Figure('slowness', known.slowness),
            Figure('token_s', known.token_s),
            Figure('failure_share', known.failure_share_at(now_s)),
        ),
    )
