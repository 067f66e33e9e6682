"""The coordinators of models that this VM is in charge of."""

import asyncio
import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.entry import questions
from bulrushrudder.placement import actions
from bulrushrudder.placement import cell
from bulrushrudder.placement import events
from bulrushrudder.protocol import place_messages

TAKE_OVER_S = 0.3
# A Cell of another VM's that nobody has asked for this long is closed.
UNUSED_S = 2.0
DEFAULT_FIRST_TOKEN_S = 60.0
DEFAULT_BETWEEN_TOKENS_S = 1.0


@dataclasses.dataclass(slots=True)
class _Open:
    """A Cell, and what it was last told of the view.

    :param asked_s: monotonic seconds of the last question.
    :param in_charge: whether this VM was in charge at some time.
    :param index: of the view at that time.
    :param version: of the model's servers in the view.
    :param owners: the owners that it knows.
    """

    cell: cell.Cell
    asked_s: float
    index: int = -1
    version: int = -1
    in_charge: bool = False
    owners: tuple[ids.Owner, ...] = ()


class CoordinatorHost:
    """Carries out the actions of the coordinators.

    :param view: the View of the log.
    """

    def __init__(self, view):
        self._view = view
        self._open_by_model = {}
        self._questions = questions.Questions()
        self._wanted_by_owner = {}
        self._closed = False
        self._targets = _Targets(view.lookups.document)

    async def ask(self, message):
        """Answer an AskPlace message."""
        if self._closed:
            return place_messages.PlaceMoved()
        call = self._questions.open()
        self.take(message.model, self._asked(call, message))
        return await self._questions.wait(call)

    def take(self, model, event):
        """Give an event to the Cell of a model and do what it decides."""
        if self._closed:
            return
        now_s = asyncio.get_running_loop().time()
        opened = self._open_by_model.get(model)
        if opened is None:
            opened = _Open(cell.Cell(ready_s=self._ready_s(now_s)), now_s)
            self._open_by_model[model] = opened
        if isinstance(event, events.PlaceAsked):
            opened.asked_s = now_s
        for change in (*self._changes(model, opened), event):
            for action in opened.cell.handle(change, now_s):
                self._perform(action)

    def compare(self, message):
        """Answer a ReportHolds message."""
        self._wanted_by_owner.pop(message.owner, None)
        self.take(
            message.model,
            events.HoldsReported(
                message.owner,
                message.sequence,
                message.below,
                frozenset(message.numbers),
            ),
        )
        wanted = self._wanted_by_owner.pop(message.owner, ())
        return place_messages.HoldsWanted(wanted)

    def wanted_prefills_by_model(self):
        """Return how many prefill servers each pool here should have."""
        return {
            model: opened.cell.wanted_prefills()
            for model, opened in self._open_by_model.items()
        }

    def tick(self):
        """Send a tick to the coordinators that have queued requests."""
        for model, opened in tuple(self._open_by_model.items()):
            if opened.cell.waiting:
                self.take(model, events.Ticked())

    def keep(self, is_in_charge):
        """Close the coordinators of models that another VM is in charge of.

        Who cannot reach that VM asks here, so a Cell that only stands in
        for another stays open while it is asked.
        """
        now_s = asyncio.get_running_loop().time()
        for model, opened in tuple(self._open_by_model.items()):
            if is_in_charge(model):
                opened.in_charge = True
                continue
            unused = now_s - opened.asked_s > UNUSED_S
            if opened.in_charge or unused:
                self._move(self._open_by_model.pop(model))

    def close(self):
        """Close all coordinators permanently."""
        self._closed = True
        for model in tuple(self._open_by_model):
            self._move(self._open_by_model.pop(model))

    def _move(self, opened):
        for call in opened.cell.calls:
            self._questions.resolve(call, place_messages.PlaceMoved())

    def _ready_s(self, now_s):
        """Give other VMs time to report what they hold."""
        if len(self._view.state.sessions.by_vm) > 1:
            return now_s + TAKE_OVER_S
        return now_s

    def _changes(self, model, opened):
        """Return what the Cell has not been told of the view."""
        if opened.index == self._view.index:
            return
        opened.index = self._view.index
        servers = self._view.state.servers
        version = servers.versions_by_served.get(model, 0)
        if version != opened.version:
            opened.version = version
            found = servers.by_served.get(model, {})
            yield events.ServersChanged(tuple(found.values()))
        sessions = self._view.state.sessions.by_vm.values()
        owners = tuple(session.owner for session in sessions)
        if owners != opened.owners:
            opened.owners = owners
            yield events.OwnersChanged(owners)

    def _perform(self, action):
        match action:
            case actions.Grant(call=call):
                granted = place_messages.PlaceGranted(
                    action.prefill, action.decode
                )
                self._questions.resolve(call, granted)
            case actions.Refuse(call=call, reason=reason):
                refused = place_messages.PlaceRefused(int(reason))
                self._questions.resolve(call, refused)
            case actions.AskHoldings(owner=owner, numbers=numbers):
                self._wanted_by_owner[owner] = numbers

    def _asked(self, call, message):
        accounts_by_id = self._view.lookups.accounts_by_id
        account = accounts_by_id.get(message.account)
        session = self._view.state.sessions.by_vm.get(message.owner.vm)
        target = self._target(message.model, message.interactive)
        return events.PlaceAsked(
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
            late_counts=message.late_counts,
        )

    def _target(self, model, interactive):
        document = self._view.lookups.document
        if self._targets.document is not document:
            self._targets = _Targets(document)
        return self._targets.of(model, interactive)


class _Targets:
    """The strictest targets of the routes to each model.

    :param document: the document that is indexed.
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
                    self._add_shares(target)

    def of(self, model, interactive):
        """Return the ModelTarget of a model and a route class."""
        found = self._targets_by_key.get((model, interactive))
        if found is not None:
            return found
        return types.ModelTarget(
            model, DEFAULT_FIRST_TOKEN_S, DEFAULT_BETWEEN_TOKENS_S
        )

    def _add_shares(self, split):
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
