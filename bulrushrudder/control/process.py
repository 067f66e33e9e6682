"""Starts and stops the control process."""

import asyncio
import contextlib
import random
import time

from returns import result

from bulrushrudder.config import settings as config
from bulrushrudder.config import settings_watcher
from bulrushrudder.consensus import core
from bulrushrudder.consensus import replica
from bulrushrudder.control import accepted_links
from bulrushrudder.control import kind_orders
from bulrushrudder.control import node
from bulrushrudder.control import operator_api
from bulrushrudder.control import requests_in_flight
from bulrushrudder.control import server
from bulrushrudder.control import stopping as control_stopping
from bulrushrudder.core import ids
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.metrics import control as metrics_control
from bulrushrudder.metrics import listener as metrics_listener
from bulrushrudder.protocol import link
from bulrushrudder.protocol import peers
from bulrushrudder.storage import store
from bulrushrudder.utils import client_limits
from bulrushrudder.utils import http_listener
from bulrushrudder.utils import tasks


class OwnInterface:
    """The router's own interface for operators."""

    def application(self, control, settings, metrics):
        """Return the aiohttp application for operators."""
        secret = settings.secrets.operators
        return operator_api.OperatorApi(control, secret, metrics).application()

    def order_client(self, stack):
        """Return None; servers of this interface accept no orders."""
        return


async def start(stack, settings, on_failed=None, interface=None):
    """Start the control process.

    :param stack: AsyncExitStack that owns all resources.
    :param settings: the VM's Settings.
    :param on_failed: called when the disk fails and the process must
        stop.
    :param interface: the interface for operators and engines, with the
        methods of OwnInterface, which is the default.
    :returns: the ControlProcess.
    :raises SystemExit: if the data folder cannot be used.
    """
    # Runs after everything else has been closed.
    last_callbacks = stack.enter_context(contextlib.ExitStack())
    owner = ids.Owner(ids.VmId(f'{settings.vm}/control'), time.time_ns())
    data_folder = _open_data_folder(stack, settings)
    control = _make_control(
        stack, settings, owner, data_folder, on_failed or _exit
    )
    links = accepted_links.AcceptedLinks()
    link_listener = await link.listen(
        settings.control.inner,
        owner,
        settings.secrets.cluster,
        control.handle,
        links.remove,
        links.add,
        limits=client_limits.of_vm(settings.limits, client_limits.INNER_SHARE),
    )
    stack.callback(link_listener.close)
    interface = interface or OwnInterface()
    in_flight = requests_in_flight.RequestsInFlight()
    operators_listener = await _listen(
        stack, settings, control, interface, in_flight
    )
    log_task = tasks.spawn(stack, control.node.run())
    tasks.spawn(stack, control.run())
    parts = control_stopping.Parts(
        control,
        in_flight,
        operators_listener,
        links,
        link_listener,
        log_task,
        *_start_orders(stack, settings, control, interface),
    )
    stack.push_async_callback(control_stopping.stop, parts)
    log.emit(
        catalogue.CONTROL_STARTED,
        inner=str(settings.control.inner),
        member=data_folder.id,
    )
    last_callbacks.callback(log.emit, catalogue.CONTROL_STOPPED)
    return control


def _make_control(stack, settings, owner, data_folder, on_failed):
    cluster_peers = peers.Peers(
        owner, settings.secrets.cluster, _ignore_message, True
    )
    stack.callback(cluster_peers.close)

    def make_node(on_committed):
        return node.Node(
            _replica(settings, data_folder),
            data_folder.store,
            cluster_peers,
            config.parse_address,
            on_committed,
            on_failed,
        )

    return server.ControlProcess(make_node, cluster_peers)


async def _listen(stack, settings, control, interface, in_flight):
    """Listen for operators, and for readers of the metrics.

    :param in_flight: the RequestsInFlight of the operators.
    :returns: the HttpListener for operators.
    """
    metrics = metrics_control.ControlMetrics(
        lambda: control.node.replica.tolerable_losses,
        lambda: control.node.state.servers.count_cold(),
        lambda: control.node.state.evacuations.zones,
    )
    operators_app = interface.application(control, settings, metrics)
    operators_app.middlewares.insert(0, in_flight.guard)
    operators_listener = http_listener.HttpListener(
        operators_app,
        http_listener.Options(
            closes_connections=lambda: in_flight.refusing,
            limits=client_limits.of_vm(settings.limits),
        ),
    )
    metrics.clients.watch(operators_listener.ledger)
    await operators_listener.open(stack, settings.control.operators)
    await metrics_listener.listen(
        stack, metrics, settings.control.metrics, settings.limits
    )
    return operators_listener


def _start_orders(stack, settings, control, interface):
    """Start to send orders to servers.

    :returns: the OrderSender and its task, or nothing if the servers of the
        interface accept no orders.
    """
    order_client = interface.order_client(stack)
    if order_client is None:
        return ()
    order_sender = kind_orders.OrderSender(
        control, order_client, settings.vm, settings.control.order_lease_s
    )
    return order_sender, tasks.spawn(stack, order_sender.run())


async def run(settings, stopping, interface=None):
    """Run the control process until it is stopped.

    :param stopping: the StopSignal that ends it.
    :param interface: as for start.
    :raises SystemExit: if the data folder cannot be used or the disk
        fails.
    """
    failed = asyncio.Event()

    def on_failed():
        failed.set()
        stopping.set()

    async with contextlib.AsyncExitStack() as stack:
        control = await start(stack, settings, on_failed, interface)
        watcher = settings_watcher.SettingsWatcher(
            settings,
            lambda reloaded: control.node.replica.set_control_addresses(
                tuple(str(address) for address in reloaded.controls)
            ),
        )
        stopping.on_reload(watcher.reload_now)
        tasks.spawn(stack, watcher.run())
        await asyncio.shield(stopping.wait())
    if failed.is_set():
        raise SystemExit(1)


def _open_data_folder(stack, settings):
    folder = settings.control.data_folder
    founding = store.Founding(
        settings.may_found, tuple(map(str, settings.controls))
    )
    match store.open_store(stack, folder, founding=founding):
        case result.Success(data_folder):
            if data_folder.torn:
                log.emit(catalogue.TORN_TAIL_TRUNCATED, folder=str(folder))
            return data_folder
        case result.Failure(error):
            log.emit(catalogue.DATA_FOLDER_UNUSABLE, detail=str(error))
    raise SystemExit(1)


def _replica(settings, data_folder):
    identity = core.Identity(
        data_folder.id,
        str(settings.control.inner),
        tuple(str(address) for address in settings.controls),
        data_folder.may_found,
        settings.seeded,
    )
    return replica.Replica(
        identity,
        data_folder.durable,
        random.random,
        asyncio.get_running_loop().time(),
    )


def _exit():
    raise SystemExit(1)


async def _ignore_message(link_, message):
    """Ignore a message; peers send none on links dialled from here."""
