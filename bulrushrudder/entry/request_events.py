"""Events for the coordinators from the messages of other VMs."""

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.placement import events
from bulrushrudder.protocol import place_messages

DEFAULT_FIRST_TOKEN_TARGET_S = 60.0
DEFAULT_BETWEEN_TOKENS_TARGET_S = 1.0


class RequestEvents:
    """Makes events from messages and what the view says about them.

    :param view: the View of the log.
    """

    def __init__(self, view):
        self._view = view
        self._latency_targets = _LatencyTargets(view.lookups.document)

    def placement_requested(self, call, message):
        """Return the event for a PlaceRequest message.

        :param call: number that correlates the action with the request.
        """
        accounts_by_id = self._view.lookups.accounts_by_id
        account = accounts_by_id.get(message.account)
        session = self._view.state.sessions.by_vm.get(message.owner.vm)
        target = self._latency_target(message.model, message.interactive)
        own_s = None
        if message.target_s is not None:
            own_s = message.target_s - message.waited_s
        return events.PlacementRequested(
            call=call,
            hold=events.HoldId(message.owner, message.number),
            account=message.account,
            weight=account.weight if account else 1.0,
            zone=session.zone if session else ids.Zone(''),
            prompt_tokens=message.prompt_tokens,
            output_tokens=message.output_tokens,
            interactive=message.interactive,
            patience_s=message.patience_s,
            first_token_s=target.first_token_s - message.waited_s,
            between_tokens_s=target.between_tokens_s,
            prefix=message.prefix,
            excluded=message.excluded,
            isolation=events.Isolation(message.isolation),
            expected_tokens=message.expected_tokens,
            accepts_late_answer=message.accepts_late_answer,
            software=message.software,
            rank=message.rank,
            own_first_token_s=own_s,
        )

    def _latency_target(self, model, interactive):
        document = self._view.lookups.document
        if self._latency_targets.document is not document:
            self._latency_targets = _LatencyTargets(document)
        return self._latency_targets.find(model, interactive)


def call_requested(call, message):
    """Return the event for a CallRequest message."""
    match message.limits:
        case [
            place_messages.ReportLimit(cold_requests_per_s=pace) as limit
        ] if pace > 0:
            return events.ColdCallRequested(
                call,
                limit.server,
                limit.incarnation,
                pace,
                limit.cold,
                message.max_wait_s,
            )
    limits = tuple(_limit_reported(limit) for limit in message.limits)
    return events.CallRequested(call, limits, message.max_wait_s)


def _limit_reported(message):
    """Return the event for a ReportLimit message."""
    return events.LimitReported(
        message.server, message.incarnation, message.requests_per_s
    )


class _LatencyTargets:
    """The strictest latency targets among the routes to each model.

    :param document: the Document whose routes are indexed.
    """

    def __init__(self, document):
        self.document = document
        self._targets_by_key = {}
        for route in document.routes:
            match route.target:
                case types.ModelTarget() as target:
                    interactive = route.urgency is types.Urgency.INTERACTIVE
                    self._add((target.model, interactive), target)
                case types.SplitTarget() as target:
                    self._add_split(target)

    def find(self, model, interactive):
        """Return the ModelTarget for a model.

        :param interactive: whether interactive routes are meant.
        """
        target = self._targets_by_key.get((model, interactive))
        if target is not None:
            return target
        return types.ModelTarget(
            model,
            DEFAULT_FIRST_TOKEN_TARGET_S,
            DEFAULT_BETWEEN_TOKENS_TARGET_S,
        )

    def _add_split(self, split):
        for share in split.shares:
            model = ids.ModelId(share.service)
            target = types.ModelTarget(
                model, split.answer_s, split.between_events_s
            )
            self._add((model, False), target)

    def _add(self, key, target):
        known = self._targets_by_key.get(key, target)
        self._targets_by_key[key] = types.ModelTarget(
            target.model,
            min(known.first_token_s, target.first_token_s),
            min(known.between_tokens_s, target.between_tokens_s),
        )
