"""Starts and stops the entry process."""

import asyncio
import contextlib
import time

from bulrushrudder.backpressure import cold_pace
from bulrushrudder.backpressure import table
from bulrushrudder.config import settings_watcher
from bulrushrudder.core import ids
from bulrushrudder.engines import network
from bulrushrudder.entry import access
from bulrushrudder.entry import authority_client
from bulrushrudder.entry import backend_paths
from bulrushrudder.entry import backpressure_monitor
from bulrushrudder.entry import balancing
from bulrushrudder.entry import call_permits
from bulrushrudder.entry import call_registrar
from bulrushrudder.entry import cancelling
from bulrushrudder.entry import cold_permits
from bulrushrudder.entry import control_client
from bulrushrudder.entry import coordinator_client
from bulrushrudder.entry import explaining
from bulrushrudder.entry import limit_sharing
from bulrushrudder.entry import own_interface
from bulrushrudder.entry import rank_reporter
from bulrushrudder.entry import role_directory
from bulrushrudder.entry import service_router
from bulrushrudder.entry import session
from bulrushrudder.entry import shared_services
from bulrushrudder.entry import zone_reports
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import retries
from bulrushrudder.lifecycle import shutdown
from bulrushrudder.limits import spare
from bulrushrudder.metrics import entry as metrics_entry
from bulrushrudder.metrics import listener as metrics_listener
from bulrushrudder.observers import view
from bulrushrudder.placement import crossing
from bulrushrudder.protocol import explain_messages
from bulrushrudder.protocol import link
from bulrushrudder.protocol import peers
from bulrushrudder.protocol import place_messages
from bulrushrudder.protocol import token_messages
from bulrushrudder.utils import client_ledger
from bulrushrudder.utils import client_limits
from bulrushrudder.utils import tasks

CANCEL_TIMEOUT_S = 5.0
ROLE_HANDOVER_TIMEOUT_S = 4.0
SESSION_CLOSE_TIMEOUT_S = 0.4
# Requests that are on their way when the listener closes are refused within
# this time.
LAST_REQUESTS_S = 0.2
# Kept for the last steps of a stop if the earlier ones take long.
LISTENER_CLOSE_S = 0.2
SESSION_RESERVE_S = 0.1
FLUSH_TIMEOUT_S = 60.0


class EntryProcess:
    """The entry process.

    :param settings: the Settings of the VM.
    :param interface: the interface to callers and backend servers, an
        object with the methods of OwnInterface, which is the default.
    :param network_: opens direct connections to backend servers; a
        DirectNetwork by default.
    :ivar ledger: the Ledger of callers and tunnels.
    :ivar paths: the BackendPaths.
    :ivar services: the SharedServices, once the process has started.
    """

    def __init__(self, settings, interface=None, network_=None):
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
            spare.of_bounds(settings.bounds),
        )
        self._call_registrar = call_registrar.CallRegistrar(
            self._owner, self.view, self.control_client, settings.environment
        )
        self._costs = crossing.of_bounds(settings.bounds)
        statements = table.StatementTable()
        cold_bounds = cold_pace.of_bounds(settings.bounds)
        self.coordinator_client = coordinator_client.CoordinatorClient(
            self._owner,
            self.view,
            roles,
            statements,
            cold_bounds,
            self._costs,
        )
        self._backpressure = backpressure_monitor.BackpressureMonitor(
            self.view,
            statements,
            self.coordinator_client,
            self.control_client,
        )
        self.metrics = metrics_entry.EntryMetrics()
        self.ledger = client_ledger.Ledger(
            client_limits.of_vm(settings.limits)
        )
        self.metrics.clients.watch(self.ledger)
        self._cold_permits = cold_permits.ColdPermits(
            self.view,
            self.coordinator_client,
            cold_bounds,
            self.metrics.count_held_back,
        )
        self.paths = backend_paths.BackendPaths(
            network_ or network.DirectNetwork(),
            self.view,
            self._owner,
            settings,
            self.metrics,
            self._is_leaving,
            self.ledger,
        )
        self._session = session.Session(
            settings,
            self._owner,
            self.view,
            self.control_client,
            self._is_leaving,
        )
        self.services = None
        self._zone_reports = None
        self._explainer = None
        self._canceller = None
        self._callers = None

    async def start(self, stack):
        """Open listeners and clients, and start the background tasks.

        :param stack: an AsyncExitStack that owns all of them.
        """
        stack.callback(self._peers.close)
        stack.callback(self.paths.close)
        await self._make_services(stack)
        self._limit_retries()
        await self._listen(stack)
        self._run_in_background(stack)
        callers = self._settings.entry.callers
        log.emit(catalogue.ENTRY_STARTED, callers=str(callers))

    async def _make_services(self, stack):
        engines, services_client = await self._interface.clients(
            stack,
            self._settings,
            self._backpressure.record,
            self.paths.network,
            self._cold_permits.ask,
        )
        self._canceller = cancelling.Canceller(
            self._settings.vm, self.view, engines, self.metrics
        )
        self._zone_reports = zone_reports.ZoneReports(
            self._settings.vm,
            self._settings.zone,
            self._costs,
            self.paths.network.doubts,
        )
        router = service_router.ServiceRouter(
            self.view,
            self._settings.zone,
            services_client,
            self.paths.network.doubts,
            self._zone_reports,
            self.metrics,
        )
        self._explainer = explaining.Explainer(
            self._owner,
            self.view,
            self.coordinator_client,
            router,
            self._backpressure,
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
            self.paths.network.doubts,
            self._costs,
        )

    def _limit_retries(self):
        """Apply the retry bounds of the settings, which the fleet shares."""
        bounds = self._settings.bounds
        if bounds is not None:
            self.services.retries = retries.policy_for_shared_budget(
                bounds.retry_share,
                bounds.retry_extra,
                bounds.retry_window_s,
                lambda: len(self.view.state.sessions.by_vm),
                _now_s(),
            )

    def _run_in_background(self, stack):
        for coroutine in (
            self.control_client.run(),
            self._authority_client.run(),
            self._call_registrar.run(),
            self._backpressure.run(),
            self.services.stream_recorder.run(),
            self.coordinator_client.run(),
            self._zone_reports.run(
                self.coordinator_client, self.services.service_router.servers
            ),
            balancing.PoolBalancer(
                self.view, self.coordinator_client, self.control_client
            ).run(),
            limit_sharing.LimitSharing(
                self.view, self.coordinator_client, self.control_client
            ).run(),
            rank_reporter.RankReporter(
                self.coordinator_client, self.metrics
            ).run(),
            self._canceller.run(),
            self.paths.network.run(),
            access.AccessMonitor(self.services).run(),
            self._session.keep_open(),
        ):
            tasks.spawn(stack, coroutine)

    async def leave(self):
        """Report unready, and serve calls until the balancer has noticed."""
        entry_settings = self._settings.entry
        self._begin_shutdown(entry_settings.balancer_s)
        log.emit(catalogue.ENTRY_STOPPING, calls=self.services.calls)
        self.services.spawn(self._session.offer_no_roles())
        await asyncio.sleep(self.services.shutdown.accept_until_s - _now_s())

    def _is_leaving(self):
        return self.services.leaving

    def _begin_shutdown(self, balancer_s):
        self.services.begin_shutdown(
            shutdown.plan(_now_s(), balancer_s, self._settings.entry.stop_s)
        )

    async def stop(self):
        """Refuse new work and finish the requests in flight.

        Roles that no other VM has taken over are kept for the accepted
        requests, which need them until they end. Other VMs cancel the
        attempts of a closed session as orphans, so it is closed last.
        """
        if self.services.shutdown is None:
            self._begin_shutdown(0.0)
        self.services.in_flight.end_uploads()
        self.services.crash_reporter.stopping = True
        log.emit(catalogue.ENTRY_DRAINING, calls=self.services.calls)
        self._callers.close_idle()
        await self.services.finish()
        handovers = self._hand_over_roles()
        await self.paths.tunnels.finish(self.services.shutdown.finish_until_s)
        await self._canceller.finish(
            self._remaining_s(CANCEL_TIMEOUT_S, LISTENER_CLOSE_S)
        )
        await asyncio.wait(
            handovers,
            timeout=self._remaining_s(
                ROLE_HANDOVER_TIMEOUT_S, LISTENER_CLOSE_S
            ),
        )
        for handover in handovers:
            handover.cancel()
        await self._stop_listening()
        with contextlib.suppress(TimeoutError):
            # A session that is not closed in time expires with its lease.
            async with asyncio.timeout(
                self._remaining_s(SESSION_CLOSE_TIMEOUT_S)
            ):
                await self._session.close()
        log.emit(catalogue.ENTRY_STOPPED)

    async def _stop_listening(self):
        """Refuse connections, and let callers take their answers."""
        await self._callers.stop_accepting()
        await asyncio.sleep(
            self._remaining_s(LAST_REQUESTS_S, SESSION_RESERVE_S)
        )
        await self._callers.flush(
            self._remaining_s(FLUSH_TIMEOUT_S, SESSION_RESERVE_S)
        )
        self._callers.abort()

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

    def _remaining_s(self, limit_s, reserve_s=0.0):
        """Return the seconds that a step of the stop may take.

        :param limit_s: limit of the step; the deadline of the stop may
            leave less.
        :param reserve_s: seconds that the steps after it need.
        """
        return self.services.shutdown.left_s(_now_s(), limit_s, reserve_s)

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
            serve_tunnel=self.paths.tunnels.serve,
            limits=client_limits.of_vm(
                settings.limits, client_limits.INNER_SHARE
            ),
        )
        stack.callback(inner.close)
        self._callers = await self._interface.listen(stack, settings, self)
        await metrics_listener.listen(
            stack, self.metrics, settings.entry.metrics, settings.limits
        )

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
            case explain_messages.ExplainRequest():
                return self._explainer.explain(message)
        return None


def _now_s():
    return asyncio.get_running_loop().time()


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
