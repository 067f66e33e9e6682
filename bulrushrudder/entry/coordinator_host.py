"""Hosts the coordinators of the models that this VM is in charge of."""

import asyncio
import copy
import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.entry import pending_replies
from bulrushrudder.entry import request_events
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.placement import actions
from bulrushrudder.placement import contacts
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import crossing
from bulrushrudder.placement import events
from bulrushrudder.placement import explanation
from bulrushrudder.placement import rank_counts
from bulrushrudder.placement import service_zones
from bulrushrudder.protocol import place_messages

# Time for other VMs to report their holds to a new coordinator.
TAKEOVER_GRACE_S = 0.3
# A coordinator of a model that another VM is in charge of is closed after
# this time without a request.
SUBSTITUTE_IDLE_TIMEOUT_S = 2.0
# Correlates the actions of a request that is only explained.
EXPLAINED_CALL = -1


@dataclasses.dataclass(slots=True)
class _HostedCoordinator:
    """A coordinator and the part of the view that it has seen.

    :param last_request_s: monotonic seconds of the last request for a
        place.
    :param index: index of the view that it has seen.
    :param version: version of the model's servers that it has seen.
    :param was_in_charge: whether this VM has been in charge of the model
        since the coordinator was opened.
    :param owners: owners of the sessions that it has seen.
    :param zones: the ServiceZones of a plain service.
    """

    coordinator: coordinator.Coordinator
    last_request_s: float
    zones: service_zones.ServiceZones
    index: int = -1
    version: int = -1
    was_in_charge: bool = False
    owners: tuple[ids.Owner, ...] = ()
    contact: contacts.Contact = dataclasses.field(
        default_factory=contacts.Contact
    )


class CoordinatorHost:
    """Feeds events to the coordinators and carries out their actions.

    A coordinator is opened with the first event for its model.

    :param view: the View of the log.
    :param cold_bounds: the ColdBounds, or None.
    :param is_elected: function that returns whether this VM is in charge of
        a model by all sessions of the view.
    :param costs: what the bytes between zones cost.
    """

    def __init__(
        self,
        view,
        cold_bounds=None,
        is_elected=lambda model: False,
        costs=crossing.FIXED,
    ):
        self._view = view
        self._cold_bounds = cold_bounds
        self._is_elected = is_elected
        self._costs = costs
        self._hosted_by_model = {}
        self._pending_replies = pending_replies.PendingReplies()
        self._unknown_holds_by_owner = {}
        self._closed = False
        self._request_events = request_events.RequestEvents(view)

    async def request_place(self, message):
        """Queue a PlaceRequest message with its coordinator.

        :returns: a PlaceGranted, PlaceRefused or CoordinatorMoved message.
        """
        if self._closed:
            return place_messages.CoordinatorMoved()
        call = self._pending_replies.open()
        self.handle_event(
            message.model,
            self._request_events.placement_requested(call, message),
        )
        return await self._pending_replies.wait(call)

    def handle_event(self, model, event):
        """Feed an event to the coordinator of a model.

        Changes of the view that it has not seen yet go first.
        """
        if self._closed:
            return
        now_s = asyncio.get_running_loop().time()
        hosted = self._hosted_by_model.get(model)
        if hosted is None:
            hosted = self._open(model, self._ready_s(now_s), now_s)
            self._hosted_by_model[model] = hosted
        if isinstance(
            event,
            events.PlacementRequested
            | events.CallRequested
            | events.ColdCallRequested,
        ):
            hosted.last_request_s = now_s
        contact_changes = self._contact_changes(model, hosted, now_s)
        view_changes = self._view_changes(model, hosted)
        for change in (*contact_changes, *view_changes, event):
            for action in hosted.coordinator.handle(change, now_s):
                self._perform(action, model)

    def explain(self, message):
        """Explain what would become of a PlaceRequest, without an effect.

        :returns: an Explanation.
        """
        now_s = asyncio.get_running_loop().time()
        model = message.model
        hosted = self._hosted_by_model.get(model)
        if hosted is None:
            hosted = self._open(model, now_s, now_s)
        # What the coordinator has seen stays as it is.
        seen = dataclasses.replace(hosted, contact=copy.copy(hosted.contact))
        return explanation.explain(
            hosted.coordinator,
            self._request_events.placement_requested(EXPLAINED_CALL, message),
            (
                *self._contact_changes(model, seen, now_s),
                *self._view_changes(model, seen),
            ),
            now_s,
        )

    async def request_call(self, message):
        """Decide on a CallRequest message.

        :returns: a CallGranted, CallDeferred or CoordinatorMoved message.
        """
        if self._closed:
            return place_messages.CoordinatorMoved()
        call = self._pending_replies.open()
        self.handle_event(
            message.model, request_events.call_requested(call, message)
        )
        return await self._pending_replies.wait(call)

    def limits_by_model(self):
        """Return pairs of incarnation and limit by server, by model.

        It covers the models and services whose coordinators run here.
        """
        return {
            model: hosted.coordinator.limits_by_id
            for model, hosted in self._hosted_by_model.items()
        }

    def reconcile(self, message):
        """Reconcile a coordinator with a ReportHolds message.

        :returns: an UnknownHolds message that lists the holds unknown to it.
        """
        self._unknown_holds_by_owner.pop(message.owner, None)
        self.handle_event(
            message.model,
            events.HoldsReported(
                message.owner,
                message.sequence,
                message.end_number,
                frozenset(message.numbers),
            ),
        )
        wanted = self._unknown_holds_by_owner.pop(message.owner, ())
        if message.load is not None:
            return self._service_shares(message, wanted)
        return place_messages.UnknownHolds(wanted)

    def wanted_prefills_by_model(self):
        """Return the wanted number of prefill servers by model.

        It covers the models whose coordinators run here.
        """
        return {
            model: hosted.coordinator.wanted_prefills()
            for model, hosted in self._hosted_by_model.items()
        }

    def take_rank_counts(self):
        """Return the RankCounts of all coordinators since the last call."""
        counts = rank_counts.RankCounts()
        for hosted in self._hosted_by_model.values():
            counts.add(hosted.coordinator.take_rank_counts())
        return counts

    def tick(self):
        """Feed a tick to the coordinators that have queued requests."""
        for model, hosted in tuple(self._hosted_by_model.items()):
            if hosted.coordinator.queue_length:
                self.handle_event(model, events.Ticked())

    def close_moved(self, is_in_charge):
        """Close the coordinators of models that another VM is in charge of.

        VMs that cannot reach that VM send their requests here. A
        coordinator that was opened for them stays open until it has been
        idle for SUBSTITUTE_IDLE_TIMEOUT_S.

        :param is_in_charge: function that returns whether this VM is in
            charge of a model.
        """
        now_s = asyncio.get_running_loop().time()
        for model, hosted in tuple(self._hosted_by_model.items()):
            if is_in_charge(model):
                hosted.was_in_charge = True
                continue
            unused = now_s - hosted.last_request_s > SUBSTITUTE_IDLE_TIMEOUT_S
            if hosted.was_in_charge or unused:
                self._redirect_queued(self._hosted_by_model.pop(model))

    def close(self):
        """Close all coordinators permanently."""
        self._closed = True
        for model in tuple(self._hosted_by_model):
            self._redirect_queued(self._hosted_by_model.pop(model))

    def _redirect_queued(self, hosted):
        for call in hosted.coordinator.calls:
            self._pending_replies.resolve(
                call, place_messages.CoordinatorMoved()
            )

    def _open(self, model, ready_s, now_s):
        """Return a new coordinator of a model, which is not fed events yet.

        :param ready_s: monotonic seconds from which it may grant places.
        """
        opened = coordinator.Coordinator(
            ready_s=ready_s, cold_bounds=self._cold_bounds, costs=self._costs
        )
        for limit in self._recorded_limits(model):
            opened.handle(limit, now_s)
        return _HostedCoordinator(
            opened, now_s, service_zones.ServiceZones(self._costs)
        )

    def _ready_s(self, now_s):
        """Return the time from which a new coordinator may grant places.

        Other VMs report their holds until then.
        """
        if len(self._view.state.sessions.by_vm) > 1:
            return now_s + TAKEOVER_GRACE_S
        return now_s

    def _recorded_limits(self, model):
        """Yield the limits that an earlier coordinator has recorded."""
        servers = self._view.state.servers
        for server in (
            *servers.by_served.get(model, {}).values(),
            *servers.evacuated_by_served.get(model, {}).values(),
        ):
            requests_per_s = servers.requests_per_s(server)
            if requests_per_s is not None:
                yield events.LimitReported(
                    server.id, server.incarnation, requests_per_s
                )

    def _contact_changes(self, model, hosted, now_s):
        """Return the event of a change of contact, if there is one."""
        if self._cold_bounds is None:
            return ()
        if hosted.index != self._view.index:
            hosted.contact.elect(self._is_elected(model), now_s)
        return hosted.contact.changes(self._view.age_s(now_s), now_s)

    def _view_changes(self, model, hosted):
        """Yield events for changes of the view that a coordinator missed."""
        if hosted.index == self._view.index:
            return
        hosted.index = self._view.index
        servers = self._view.state.servers
        version = servers.versions_by_served.get(model, 0)
        if version != hosted.version:
            hosted.version = version
            yield events.ServersChanged(
                tuple(servers.by_served.get(model, {}).values()),
                tuple(servers.evacuated_by_served.get(model, {}).values()),
            )
        sessions = self._view.state.sessions.by_vm.values()
        owners = tuple(session.owner for session in sessions)
        if owners != hosted.owners:
            hosted.owners = owners
            yield events.OwnersChanged(owners)

    def _service_shares(self, message, wanted):
        """Return the decision on the zones of a plain service.

        :param message: a ReportHolds message with a load.
        """
        hosted = self._hosted_by_model.get(message.model)
        if hosted is None or not isinstance(self._costs, crossing.ByteCosts):
            return place_messages.UnknownHolds(wanted)
        now_s = asyncio.get_running_loop().time()
        hosted.last_request_s = now_s
        by_id = self._view.state.servers.by_served.get(message.model, {})
        decision = hosted.zones.report(
            message.owner.vm,
            message.load,
            by_id.values(),
            self._view.state.sessions.by_vm,
            now_s,
        )
        if decision.changed:
            changed = actions.ZonesDecided('service', decision.shares)
            self._perform(changed, message.model)
        return place_messages.UnknownHolds(
            wanted, decision.shares, max(0.0, decision.until_s - now_s)
        )

    def _perform(self, action, model):
        match action:
            case actions.Grant(call=call):
                granted = place_messages.PlaceGranted(
                    action.prefill, action.decode
                )
                self._pending_replies.resolve(call, granted)
            case actions.Refuse(call=call, reason=reason):
                refused = place_messages.PlaceRefused(
                    int(reason), action.retry_after_s
                )
                self._pending_replies.resolve(call, refused)
            case actions.GrantCall(call=call):
                granted = place_messages.CallGranted(
                    action.server, action.wait_s
                )
                self._pending_replies.resolve(call, granted)
            case actions.DeferCall(call=call):
                deferred = place_messages.CallDeferred(action.retry_after_s)
                self._pending_replies.resolve(call, deferred)
            case actions.RequestAllocations(owner=owner, numbers=numbers):
                self._unknown_holds_by_owner[owner] = numbers
            case actions.ZonesDecided(kind=kind, shares=shares):
                log.emit(
                    catalogue.ZONES_DECIDED,
                    service=model,
                    kind=kind,
                    shares=[
                        f'{s.origin} to {s.target}: {s.share:.2f}, '
                        f'{s.reason.value}'
                        for s in shares
                    ],
                )
