"""Requests places on backend servers from the coordinators of models."""

import asyncio
import dataclasses

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.entry import coordinator_host
from bulrushrudder.entry import role_directory
from bulrushrudder.placement import crossing
from bulrushrudder.placement import events
from bulrushrudder.placement import local_holds
from bulrushrudder.protocol import place_messages

TICK_S = 0.05
REPORT_INTERVAL_S = 10.0
REPORT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05
HANDOVER_WAIT_S = 0.2
# A coordinator decides on calls to plain services at once, and these have
# latency targets of some 100 ms.
CALL_REPLY_MARGIN_S = 0.6


class CoordinatorClient:
    """Asks the coordinator of a model, on this VM or another one.

    It also hosts the coordinators of the models that this VM is in charge
    of, and reports the holds of this process to the coordinators.

    :param owner: the Owner that identifies this process.
    :param view: the View of the log.
    :param directory: the RoleDirectory.
    :param statements: the StatementTable of this process.
    :param cold_bounds: the ColdBounds, or None.
    :param costs: what the bytes between zones cost.
    """

    def __init__(
        self,
        owner,
        view,
        directory,
        statements,
        cold_bounds=None,
        costs=crossing.FIXED,
    ):
        self._owner = owner
        self._view = view
        self._directory = directory
        self._statements = statements
        self._local_holds = local_holds.LocalHolds(owner)
        self._host = coordinator_host.CoordinatorHost(
            view,
            cold_bounds,
            lambda model: directory.is_elected(_role_key(model)),
            costs,
        )
        self._coordinator_vms_by_model = {}
        self._checked_versions = (0, 0)
        self._last_report_number = 0
        self._last_report_s = 0.0
        self._tasks = set()

    async def run(self):
        """Advance the queues and report holds until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._host.tick()
            versions = self._view.index, self._directory.suspicion_changes
            if self._checked_versions != versions:
                self._checked_versions = versions
                self._check_coordinator_vms()
            self._report_if_due()

    async def request_place(self, place_request):
        """Request a place on backend servers.

        If the coordinator is unreachable or has moved, the VM in charge is
        asked again until the patience of the request ends.

        :param place_request: a PlaceRequest message.
        :returns: a PlaceGranted, or a Refusal.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + place_request.patience_s
        while True:
            left_s = max(0.0, deadline_s - loop.time())
            place_request = dataclasses.replace(
                place_request, patience_s=left_s
            )
            answer = await self._ask_once(place_request)
            match answer:
                case result.Success(place_messages.PlaceGranted() as granted):
                    unusable = self._unusable_servers(
                        granted, place_request.model
                    )
                    if not unusable:
                        return answer
                    await self.release(
                        place_request.request, place_request.model
                    )
                    place_request = dataclasses.replace(
                        place_request,
                        excluded=(*place_request.excluded, *unusable),
                    )
                case result.Success(place_messages.PlaceRefused() as refused):
                    return _refusal(refused)
            if loop.time() + RETRY_DELAY_S >= deadline_s:
                return role_directory.unreachable("the model's coordinator")
            await asyncio.sleep(RETRY_DELAY_S)

    async def release(
        self,
        request,
        model,
        prefill_s=0.0,
        token_s=0.0,
        verdict=events.Verdict.UNKNOWN,
        prefill_failed=False,
    ):
        """Release the holds of a request and withdraw its open requests.

        :param request: id of the request.
        :param model: id of its model.
        :param prefill_s: duration of its prefill in seconds, 0 if unknown.
        :param token_s: seconds between its tokens, 0 if unknown.
        :param verdict: the Verdict on its decode server.
        :param prefill_failed: whether its prefill server rejected or
            failed the prefill.
        """
        for held_model, number in self._local_holds.list_by_request(request):
            self._local_holds.close(number)
            message = place_messages.ReleasePlace(
                self._owner,
                held_model,
                number,
                prefill_s,
                token_s,
                int(verdict),
                prefill_failed,
            )
            await self._directory.send(_role_key(model), message, self.serve)

    async def report_load(self, models, report):
        """Forward a LoadReported event to the coordinators of models."""
        for model in models:
            message = place_messages.ReportLoad(model, report)
            await self._directory.send(_role_key(model), message, self.serve)

    async def report_cache(self, models, change):
        """Forward a CacheChanged event to the coordinators of models."""
        for model in models:
            message = place_messages.ReportCache(model, change)
            await self._directory.send(_role_key(model), message, self.serve)

    def report_limit(self, server, requests_per_s):
        """Tell the coordinators of a server which limit it states.

        :param requests_per_s: None if it states none any more.
        """
        for model in server.serves:
            message = place_messages.ReportLimit(
                model, server.id, server.incarnation, requests_per_s
            )
            self._spawn(
                self._directory.send(_role_key(model), message, self.serve)
            )

    def host_of(self, model):
        """Return the Owner in charge of a model or a service, or None."""
        vm = self._directory.host_of(_role_key(model))
        session = self._view.state.sessions.by_vm.get(vm)
        return session.owner if session else None

    async def request_call(self, message):
        """Ask for a limited server for a call to a plain service.

        :param message: a CallRequest message.
        :returns: a CallGranted or CallDeferred message, or a LinkError.
        """
        return await self._directory.ask(
            _role_key(message.model),
            message,
            0.0,
            self.serve,
            CALL_REPLY_MARGIN_S,
        )

    def explain(self, place_request):
        """Explain what the coordinator on this VM would decide.

        :param place_request: a PlaceRequest message.
        :returns: an Explanation.
        """
        return self._host.explain(place_request)

    async def report_service_load(self, service, load):
        """Report the calls to a plain service to its coordinator.

        The report names no holds. A coordinator of the previous build
        answers it without a decision.

        :param load: the ServiceLoad.
        :returns: an UnknownHolds message, or None without an answer.
        """
        self._last_report_number += 1
        message = place_messages.ReportHolds(
            self._owner, service, self._last_report_number, 0, (), load
        )
        answer = await self._directory.ask(
            _role_key(service), message, REPORT_TIMEOUT_S, self.serve
        )
        match answer:
            case result.Success(place_messages.UnknownHolds() as shares):
                return shares
        return None

    async def serve(self, message):
        """Handle a message to a coordinator on this VM.

        :returns: the reply, or None for messages without one.
        """
        match message:
            case place_messages.PlaceRequest():
                return await self._host.request_place(message)
            case place_messages.ReleasePlace(model=model):
                hold = events.HoldId(message.owner, message.number)
                self._host.handle_event(
                    model,
                    events.PlaceReleased(
                        hold,
                        message.prefill_s,
                        message.token_s,
                        events.Verdict(message.verdict),
                        message.prefill_failed,
                    ),
                )
            case place_messages.ReportHolds():
                return self._host.reconcile(message)
            case place_messages.RestoreAllocations(
                model=model, allocations=allocations
            ):
                self._host.handle_event(
                    model, events.AllocationsRestored(allocations)
                )
            case place_messages.CallRequest():
                return await self._host.request_call(message)
            case place_messages.ReportLimit(model=model):
                self._host.handle_event(
                    model,
                    events.LimitReported(
                        message.server,
                        message.incarnation,
                        message.requests_per_s,
                    ),
                )
            case place_messages.ReportLoad(model=model, report=report):
                self._host.handle_event(model, report)
            case place_messages.ReportCache(model=model, change=change):
                self._host.handle_event(model, change)
        return None

    def wanted_prefills_by_model(self):
        """Return the wanted number of prefill servers by model.

        It covers the models whose coordinators run here.
        """
        return self._host.wanted_prefills_by_model()

    def limits_by_model(self):
        """Return pairs of incarnation and limit by server, by model.

        It covers the models and services whose coordinators run here.
        """
        return self._host.limits_by_model()

    def take_rank_counts(self):
        """Return the RankCounts of the coordinators here since the last."""
        return self._host.take_rank_counts()

    async def hand_over(self):
        """Close the coordinators here and redirect their queued requests.

        Waits so that other VMs can receive the redirects.
        """
        self._host.close()
        await asyncio.sleep(HANDOVER_WAIT_S)

    async def _ask_once(self, place_request):
        number = self._local_holds.open(place_request)
        # Remember the VM that is asked now: if another one takes over, the
        # hold is reported to it.
        self._coordinator_vms_by_model.setdefault(
            place_request.model,
            self._directory.host_of(_role_key(place_request.model)),
        )
        place_request = dataclasses.replace(place_request, number=number)
        granted = False
        try:
            answer = await self._directory.ask(
                _role_key(place_request.model),
                place_request,
                place_request.patience_s,
                self.serve,
            )
            match answer:
                case result.Success(place_messages.PlaceGranted() as place):
                    granted = self._local_holds.record_grant(
                        number, place.prefill, place.decode, _now_s()
                    )
            return answer
        finally:
            if not granted:
                self._withdraw(place_request.model, number)

    def _withdraw(self, model, number):
        """Release whatever a request without a grant may still hold."""
        self._local_holds.close(number)
        message = place_messages.ReleasePlace(self._owner, model, number)
        self._spawn(
            self._directory.send(_role_key(model), message, self.serve)
        )

    def _unusable_servers(self, granted, model):
        """Return the servers to exclude because of a grant.

        These are the granted ones that have left or take no work, and with
        one of an evacuated zone all others of such zones: the coordinator
        does not know of the evacuation.
        """
        unusable = [
            server_id
            for server_id in (granted.prefill, granted.decode)
            if server_id and not self._takes_work(server_id)
        ]
        table = self._view.state.servers.evacuated_by_served
        evacuated = table.get(model, {})
        if evacuated.keys() & unusable:
            return tuple({**dict.fromkeys(unusable), **evacuated})
        return tuple(unusable)

    def _takes_work(self, server_id):
        table = self._view.state.servers
        server = table.by_id.get(server_id)
        if server is None or not table.takes_requests(server):
            return False
        return self._statements.takes_work(server, _now_s())

    def _check_coordinator_vms(self):
        """Report local holds to new coordinators and close moved ones."""
        for model in self._local_holds.models:
            chosen = self._directory.host_of(_role_key(model))
            known = self._coordinator_vms_by_model.setdefault(model, chosen)
            if chosen != known:
                self._coordinator_vms_by_model[model] = chosen
                self._spawn(self._report(model))
        self._host.close_moved(
            lambda model: (
                self._directory.host_of(_role_key(model)) == self._owner.vm
            )
        )

    def _report_if_due(self):
        """Report local holds to all coordinators once per interval."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._last_report_s + REPORT_INTERVAL_S:
            return
        self._last_report_s = now_s
        for model in {
            *self._local_holds.models,
            *self._coordinator_vms_by_model,
        }:
            self._spawn(self._report(model))
            if not self._local_holds.numbers(model):
                self._coordinator_vms_by_model.pop(model, None)

    async def _report(self, model):
        """Report the holds of a model and restore those that are unknown."""
        self._last_report_number += 1
        message = place_messages.ReportHolds(
            self._owner,
            model,
            self._last_report_number,
            self._local_holds.end_number,
            self._local_holds.numbers(model),
        )
        answer = await self._directory.ask(
            _role_key(model), message, REPORT_TIMEOUT_S, self.serve
        )
        match answer:
            case result.Success(place_messages.UnknownHolds(numbers=numbers)):
                restore = place_messages.RestoreAllocations(
                    model, self._local_holds.allocations(numbers, _now_s())
                )
                await self._directory.send(
                    _role_key(model), restore, self.serve
                )

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _now_s():
    return asyncio.get_running_loop().time()


def _role_key(model):
    return f'model/{model}'


def _refusal(refused):
    reason = outcomes.Reason(refused.reason)
    detail = 'no backend server can take the request in time'
    return result.Failure(
        outcomes.not_run(reason, detail, refused.retry_after_s)
    )
