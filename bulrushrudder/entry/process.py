"""Starts and stops the entry process."""

import asyncio
import contextlib
import time

from bulrushrudder.backpressure import table
from bulrushrudder.config import settings_watcher
from bulrushrudder.core import ids
from bulrushrudder.entry import access
from bulrushrudder.entry import authority_client
from bulrushrudder.entry import backpressure_monitor
from bulrushrudder.entry import balancing
from bulrushrudder.entry import call_permits
from bulrushrudder.entry import call_registrar
from bulrushrudder.entry import cancelling
from bulrushrudder.entry import control_client
from bulrushrudder.entry import coordinator_client
from bulrushrudder.entry import limit_sharing
from bulrushrudder.entry import own_interface
from bulrushrudder.entry import role_directory
from bulrushrudder.entry import service_router
from bulrushrudder.entry import shared_services
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import retries
from bulrushrudder.limits import spare
from bulrushrudder.metrics import entry as metrics_entry
from bulrushrudder.metrics import listener as metrics_listener
from bulrushrudder.observers import view
from bulrushrudder.protocol import link
from bulrushrudder.protocol import peers
from bulrushrudder.protocol import place_messages
from bulrushrudder.protocol import token_messages
from bulrushrudder.state import results
from bulrushrudder.state import sessions
from bulrushrudder.utils import tasks
from bulrushrudder.utils import web

SESSION_RETRY_DELAY_S = 0.2
SESSION_CHECK_INTERVAL_S = 1.0
# Share of the stop timeout after which requests in flight are cut off. The
# rest is left to close the session before the process is killed.
DRAIN_SHARE = 0.92
CANCEL_TIMEOUT_S = 5.0
ROLE_HANDOVER_TIMEOUT_S = 4.0
SESSION_CLOSE_TIMEOUT_S = 0.4


class EntryProcess:
    """The entry process.

    :param settings: the Settings of the VM.
    :param interface: the interface to callers and backend servers, an
        object with the methods of OwnInterface, which is the default.
    :ivar services: the SharedServices, once the process has started.
    """

    def __init__(self, settings, interface=None):
        self._settings = settings
        self._interface = interface or own_interface.OwnInterface()
        self._owner = ids.Owner(settings.vm, time.time_ns())
        secret = settings.secrets.cluster
        self.view = view.View(settings.environment, settings.entry.stale_s)
        self.control_client = control_client.ControlClient(
            self.view,
            self._owner,
            secret,
            settings.controls,
            settings.seeded,
        )
        self._peers = peers.Peers(
            self._owner, secret, _ignore_message, short_timeouts=True
        )
        roles = role_directory.RoleDirectory(
            self.view, self._owner, self._peers
        )
        self._authority_client = authority_client.AuthorityClient(
            self._owner,
            self.view,
            roles,
            self.control_client,
            settings.environment,
            _spare_tokens(settings.bounds),
        )
        self._call_registrar = call_registrar.CallRegistrar(
            self._owner, self.view, self.control_client, settings.environment
        )
        statements = table.StatementTable()
        self.coordinator_client = coordinator_client.CoordinatorClient(
            self._owner, self.view, roles, statements
        )
        self._backpressure = backpressure_monitor.BackpressureMonitor(
            self.view,
            statements,
            self.coordinator_client,
            self.control_client,
        )
        self.metrics = metrics_entry.EntryMetrics()
        self.services = None
        self._canceller = None

    async def start(self, stack):
        """Open listeners and clients, and start the background tasks.

        :param stack: an AsyncExitStack that owns all of them.
        """
        stack.callback(self._peers.close)
        await self._make_services(stack)
        self._limit_retries()
        await self._listen(stack)
        self._run_in_background(stack)
        callers = self._settings.entry.callers
        log.emit(catalogue.ENTRY_STARTED, callers=str(callers))

    async def _make_services(self, stack):
        engines, services_client = await self._interface.clients(
            stack, self._backpressure.record
        )
        self._canceller = cancelling.Canceller(
            self._settings.vm, self.view, engines, self.metrics
        )
        router = service_router.ServiceRouter(
            self.view,
            self._settings.zone,
            services_client,
        )
        self.services = shared_services.SharedServices(
            self._owner,
            self.view,
            self._authority_client,
            self.coordinator_client,
            engines,
            router,
            self.metrics,
            self.control_client,
            self._canceller,
            self._call_registrar,
            call_permits.CallPermits(
                router, self._backpressure, self.coordinator_client
            ),
            self._backpressure,
        )

    def _limit_retries(self):
        """Apply the retry bounds of the settings, which the fleet shares."""
        bounds = self._settings.bounds
        if bounds is not None:
            self.services.retries = retries.policy_for_shared_budget(
                bounds.retry_share,
                bounds.retry_extra,
                lambda: len(self.view.state.sessions.by_vm),
            )

    def _run_in_background(self, stack):
        for coroutine in (
            self.control_client.run(),
            self._authority_client.run(),
            self._call_registrar.run(),
            self._backpressure.run(),
            self.services.stream_recorder.run(),
            self.coordinator_client.run(),
            balancing.PoolBalancer(
                self.view, self.coordinator_client, self.control_client
            ).run(),
            limit_sharing.LimitSharing(
                self.view, self.coordinator_client, self.control_client
            ).run(),
            self._canceller.run(),
            access.AccessMonitor(self.services).run(),
            self._keep_session_open(),
        ):
            tasks.spawn(stack, coroutine)

    async def leave(self):
        """Report unready and give the load balancer time to notice.

        New calls are still served during that time.
        """
        now_s = asyncio.get_running_loop().time()
        stop_s = self._settings.entry.stop_s
        if stop_s is not None:
            self.services.stop_deadline_s = now_s + stop_s * DRAIN_SHARE
        self.services.stop_requested_s = now_s
        self.services.leaving = True
        log.emit(catalogue.ENTRY_STOPPING, calls=self.services.calls)
        self.services.spawn(
            self.control_client.propose(self._open_session_command(False))
        )
        await asyncio.sleep(self._settings.entry.balancer_s)

    async def stop(self):
        """Refuse new work and finish the requests in flight.

        The session is closed last, because other VMs treat the attempts of
        a closed session as orphans and cancel them.
        """
        self.services.leaving = True
        self.services.draining = True
        self.services.crash_reporter.stopping = True
        log.emit(catalogue.ENTRY_DRAINING, calls=self.services.calls)
        handovers = self._hand_over_roles()
        await self.services.finish()
        if self.services.calls:
            log.emit(catalogue.CALLS_ABANDONED, calls=self.services.calls)
        await self._canceller.finish(self._remaining_s(CANCEL_TIMEOUT_S))
        await asyncio.wait(
            handovers, timeout=self._remaining_s(ROLE_HANDOVER_TIMEOUT_S)
        )
        for handover in handovers:
            handover.cancel()
        with contextlib.suppress(TimeoutError):
            # A session that is not closed in time expires with its lease.
            async with asyncio.timeout(SESSION_CLOSE_TIMEOUT_S):
                await self.control_client.propose(
                    sessions.CloseSession(self._owner)
                )
        log.emit(catalogue.ENTRY_STOPPED)

    def _hand_over_roles(self):
        """Start to hand accounts and coordinators over to other VMs.

        :returns: the tasks; an error of one is logged and does not stop
            the other.
        """
        handovers = {
            asyncio.create_task(self._authority_client.release_accounts()),
            asyncio.create_task(self.coordinator_client.hand_over()),
        }
        for handover in handovers:
            handover.add_done_callback(tasks.log_exception)
        return handovers

    def _remaining_s(self, limit_s):
        """Return the seconds that a step of the stop may take.

        :param limit_s: limit of the step; the deadline of the stop may
            leave less.
        """
        left_s = (
            self.services.stop_deadline_s - asyncio.get_running_loop().time()
        )
        return max(0.0, min(limit_s, left_s))

    def log_pending_calls(self):
        """Log the number of calls that the stop still waits for."""
        calls = self.services.calls if self.services else 0
        log.emit(catalogue.STOP_PENDING, calls=calls)

    async def _listen(self, stack):
        settings = self._settings
        inner = await link.listen(
            settings.entry.inner,
            self._owner,
            settings.secrets.cluster,
            self._handle,
        )
        stack.callback(inner.close)
        await self._interface.listen(stack, self._settings, self)
        app = metrics_listener.application(self.metrics)
        await web.listen(stack, app, settings.entry.metrics)

    async def _handle(self, link_, message):
        """Dispatch a message of another process to its role."""
        match message:
            case (
                token_messages.TokenRequest()
                | token_messages.RefundTokens()
                | token_messages.WithdrawTokenRequest()
            ):
                return await self._authority_client.serve(message)
            case (
                place_messages.PlaceRequest()
                | place_messages.ReleasePlace()
                | place_messages.ReportHolds()
                | place_messages.RestoreAllocations()
                | place_messages.ReportLoad()
                | place_messages.ReportCache()
                | place_messages.ReportLimit()
                | place_messages.CallRequest()
            ):
                return await self.coordinator_client.serve(message)
        return None

    async def _keep_session_open(self):
        """Open the session, and reopen it if the leader expired it."""
        hosts_roles = self._settings.entry.hosts_roles
        # A process may replace the session that it finds when it starts. A
        # later one is of its successor.
        replaces = None
        while not self.services.leaving:
            if self._has_session():
                replaces = 0
                await asyncio.sleep(SESSION_CHECK_INTERVAL_S)
                continue
            if self.view.confirmed_s is None:
                await asyncio.sleep(SESSION_RETRY_DELAY_S)
                continue
            if replaces is None:
                replaces = self.view.state.sessions.incarnation(self._owner.vm)
            command = self._open_session_command(hosts_roles, replaces)
            match await self.control_client.propose(command):
                case results.Accepted(index=index):
                    await self.control_client.wait_for_index(index)
            await asyncio.sleep(SESSION_RETRY_DELAY_S)

    def _open_session_command(self, hosts_roles, replaces=0):
        """Return the command that opens the session of this process.

        :param hosts_roles: whether the VM hosts roles for the fleet.
        :param replaces: incarnation of the session that it may replace.
        """
        entry_settings = self._settings.entry
        return sessions.OpenSession(
            owner=self._owner,
            zone=self._settings.zone,
            address=entry_settings.inner.host,
            port=entry_settings.inner.port,
            hosts_roles=hosts_roles,
            replaces=replaces,
            seen_index=self.view.index,
        )

    def _has_session(self):
        held = self.view.state.sessions.by_vm.get(self._owner.vm)
        return held is not None and held.owner == self._owner


def _spare_tokens(bounds):
    """Return the SpareTokens that the bounds of the settings allow."""
    if bounds is None:
        return spare.NO_SPARE_TOKENS
    return spare.SpareTokens(bounds.spare_tokens, bounds.spare_window_s)


async def _ignore_message(link_, message):
    """Ignore messages; peers send only replies on dialled links."""


async def run(settings, stopping, interface=None):
    """Run the entry process until it is requested to stop.

    :param settings: the Settings of the VM.
    :param stopping: the StopSignal, which receives signals.
    :param interface: as for EntryProcess.
    """
    async with contextlib.AsyncExitStack() as stack:
        entry = EntryProcess(settings, interface)
        await entry.start(stack)
        watcher = settings_watcher.SettingsWatcher(
            settings,
            lambda new_settings: entry.control_client.set_control_addresses(
                new_settings.controls
            ),
        )
        stopping.on_reload(watcher.reload_now)
        tasks.spawn(stack, watcher.run())
        stopping.on_repeat(entry.log_pending_calls)
        await stopping.wait()
        await entry.leave()
        await entry.stop()
