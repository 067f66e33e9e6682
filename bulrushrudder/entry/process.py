"""Starts and stops the entry process."""

import asyncio
import contextlib
import time

from bulrushrudder.config import reloading
from bulrushrudder.core import ids
from bulrushrudder.entry import access
from bulrushrudder.entry import authorities
from bulrushrudder.entry import balancing
from bulrushrudder.entry import cancelling
from bulrushrudder.entry import coordinators
from bulrushrudder.entry import directory
from bulrushrudder.entry import observing
from bulrushrudder.entry import own_interface
from bulrushrudder.entry import registering
from bulrushrudder.entry import service_router
from bulrushrudder.entry import shared_services
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import retries
from bulrushrudder.limits import spare
from bulrushrudder.metrics import listener as metrics_listener
from bulrushrudder.metrics import registry
from bulrushrudder.observers import view
from bulrushrudder.protocol import link
from bulrushrudder.protocol import peers
from bulrushrudder.protocol import place_messages
from bulrushrudder.protocol import token_messages
from bulrushrudder.state import results
from bulrushrudder.state import sessions
from bulrushrudder.utils import tasks
from bulrushrudder.utils import web

SESSION_RETRY_S = 0.2
SESSION_CHECK_S = 1.0
# Part of the time to stop after which what is in flight is cut, so that
# the session is closed before the process is ended by force.
STOP_SHARE = 0.92
CANCELS_S = 5.0
ROLES_S = 4.0
CLOSE_S = 0.4


class Entry:
    """The entry process.

    :param settings: the VM's Settings.
    :param interface: what callers and backend servers speak: an object
        with the functions of OwnInterface.
    """

    def __init__(self, settings, interface=None):
        self._settings = settings
        self._interface = interface or own_interface.OwnInterface()
        self._owner = ids.Owner(settings.vm, time.time_ns())
        secret = settings.secrets.cluster
        self.view = view.View(settings.environment, settings.entry.stale_s)
        self.observing = observing.Observing(
            self.view, self._owner, secret, settings.controls
        )
        self._peers = peers.Peers(self._owner, secret, _ignore, eager=True)
        found = directory.Directory(self.view, self._owner, self._peers)
        self._authorities = authorities.Authorities(
            self._owner,
            self.view,
            found,
            self.observing,
            settings.environment,
            _spares(settings.bounds),
        )
        self._registering = registering.Registering(
            self._owner, self.view, self.observing, settings.environment
        )
        self.coordinators = coordinators.Coordinators(
            self._owner, self.view, found
        )
        self.metrics = registry.Metrics()
        self.services = None
        self._cancelling = None

    async def start(self, stack):
        """Open all that the process needs.

        :param stack: an AsyncExitStack that owns what is opened.
        """
        stack.callback(self._peers.close)
        await self._make_services(stack)
        self._bound_retries()
        await self._listen(stack)
        self._run_in_background(stack)
        callers = self._settings.entry.callers
        log.emit(catalogue.ENTRY_STARTED, callers=str(callers))

    async def _make_services(self, stack):
        engines, services_client = await self._interface.clients(stack)
        self._cancelling = cancelling.Canceller(
            self._settings.vm, self.view, engines, self.metrics
        )
        plain = service_router.ServiceRouter(
            self.view,
            self._settings.zone,
            services_client,
        )
        self.services = shared_services.SharedServices(
            self._owner,
            self.view,
            self._authorities,
            self.coordinators,
            engines,
            plain,
            self.metrics,
            self.observing,
            self._cancelling,
            self._registering,
        )

    def _bound_retries(self):
        """Keep to what the settings allow the whole fleet."""
        bounds = self._settings.bounds
        if bounds is not None:
            self.services.retries = retries.policy_for_shared_budget(
                bounds.retry_share,
                bounds.retry_extra,
                lambda: len(self.view.state.sessions.by_vm),
            )

    def _run_in_background(self, stack):
        for coroutine in (
            self.observing.run(),
            self._authorities.run(),
            self._registering.run(),
            self.coordinators.run(),
            balancing.PoolBalancer(
                self.view, self.coordinators, self.observing
            ).run(),
            self._cancelling.run(),
            access.AccessMonitor(self.services).run(),
            self._keep_session(),
        ):
            tasks.spawn(stack, coroutine)

    async def leave(self):
        """Become unready and let the balancer take notice.

        New calls are still served meanwhile.
        """
        now_s = asyncio.get_running_loop().time()
        stop_s = self._settings.entry.stop_s
        if stop_s is not None:
            self.services.stop_deadline_s = now_s + stop_s * STOP_SHARE
        self.services.stop_requested_s = now_s
        self.services.leaving = True
        log.emit(catalogue.ENTRY_STOPPING, calls=self.services.calls)
        self.services.spawn(self.observing.propose(self._session(False)))
        await asyncio.sleep(self._settings.entry.balancer_s)

    async def stop(self):
        """Take no new work and finish what is in flight.

        The session closes last: peers take the attempts of a closed
        session for orphans.
        """
        self.services.leaving = True
        self.services.draining = True
        giving = asyncio.create_task(self._give_roles())
        await self.services.finish()
        await self._cancelling.finish(self._left_s(CANCELS_S))
        await asyncio.wait({giving}, timeout=self._left_s(ROLES_S))
        giving.cancel()
        with contextlib.suppress(TimeoutError):
            # A session that is not closed in time runs out by itself.
            async with asyncio.timeout(CLOSE_S):
                await self.observing.propose(
                    sessions.CloseSession(self._owner)
                )
        log.emit(catalogue.ENTRY_STOPPED)

    async def _give_roles(self):
        """Leave accounts and cells to the VMs that take them now."""
        await self._authorities.stop()
        await self.coordinators.hand_over()

    def _left_s(self, most_s):
        """Return seconds that a step of the stop may take."""
        left_s = (
            self.services.stop_deadline_s - asyncio.get_running_loop().time()
        )
        return max(0.0, min(most_s, left_s))

    def report_waiting(self):
        """Log what the process still waits for before it stops."""
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
        """Serve a message of another process."""
        match message:
            case (
                token_messages.AskTokens()
                | token_messages.ReturnTokens()
                | token_messages.WithdrawAsk()
            ):
                return await self._authorities.serve(message)
            case (
                place_messages.AskPlace()
                | place_messages.ReleasePlace()
                | place_messages.ReportHolds()
                | place_messages.RestoreHolds()
                | place_messages.ReportLoad()
                | place_messages.ReportCache()
            ):
                return await self.coordinators.serve(message)
        return None

    async def _keep_session(self):
        """Open the session, and again where it was taken for silent."""
        command = self._session(self._settings.entry.hosts_roles)
        while not self.services.leaving:
            if self._has_session():
                await asyncio.sleep(SESSION_CHECK_S)
                continue
            match await self.observing.propose(command):
                case results.Accepted(index=index):
                    await self.observing.wait_for(index)
            await asyncio.sleep(SESSION_RETRY_S)

    def _session(self, hosts_roles):
        """Return the command that opens this process's session.

        :param hosts_roles: whether it takes roles for the fleet.
        """
        found = self._settings.entry
        return sessions.OpenSession(
            owner=self._owner,
            zone=self._settings.zone,
            address=found.inner.host,
            port=found.inner.port,
            hosts_roles=hosts_roles,
        )

    def _has_session(self):
        held = self.view.state.sessions.by_vm.get(self._owner.vm)
        return held is not None and held.owner == self._owner


def _spares(bounds):
    """Return the SpareTokens that the settings allow."""
    if bounds is None:
        return spare.NO_SPARE_TOKENS
    return spare.SpareTokens(bounds.spare_tokens, bounds.spare_window_s)


async def _ignore(link_, message):
    """Peers send nothing unasked on links that this process dialled."""


async def run(settings, stopping, interface=None):
    """Run the entry process until it is told to stop.

    :param stopping: a StopSignal.
    :param interface: as for Entry.
    """
    async with contextlib.AsyncExitStack() as stack:
        entry = Entry(settings, interface)
        await entry.start(stack)
        watching = reloading.Reloading(
            settings, lambda found: entry.observing.lead_to(found.controls)
        )
        stopping.on_reload(watching.wake)
        tasks.spawn(stack, watching.run())
        stopping.on_repeat(entry.report_waiting)
        await stopping.wait()
        await entry.leave()
        await entry.stop()
