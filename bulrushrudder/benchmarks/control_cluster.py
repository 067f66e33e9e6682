"""Control processes and observers on one event loop."""

import asyncio
import contextlib
import dataclasses
import pathlib

from bulrushrudder.benchmarks import counting_relay
from bulrushrudder.config import settings
from bulrushrudder.control import process
from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.entry import control_client
from bulrushrudder.observers import view
from bulrushrudder.utils import ports
from bulrushrudder.utils import tasks

SECRET = b'the secret of a benchmark'
START_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Observer:
    """An observer of the log, as an entry process runs it.

    :ivar relay: the relay that carries most of its traffic.
    """

    view: view.View
    control_client: control_client.ControlClient
    relay: counting_relay.Relay


class Cluster:
    """Control processes on one event loop, each with its own data folder.

    :param stack: an AsyncExitStack that closes all that is opened.
    :param folder: parent of the data folders.
    :param members: number of control processes.
    """

    def __init__(self, stack, folder, members):
        self._stack = stack
        self._folder = pathlib.Path(folder)
        self._inner = tuple(_free_address() for _ in range(members))
        self.controls = []

    async def start(self):
        """Start the control processes and wait for a leader."""
        for number, inner in enumerate(self._inner):
            process_settings = _settings(
                number, inner, self._inner, self._folder
            )
            self.controls.append(
                await process.start(self._stack, process_settings)
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not any(c.node.is_ready_leader for c in self.controls):
                await asyncio.sleep(0.02)

    @property
    def leader(self):
        """Return the ControlProcess that leads."""
        return next(c for c in self.controls if c.node.is_ready_leader)

    async def observe(self, name, stack=None):
        """Start an observer and wait until its view is fresh."""
        stack = stack or self._stack
        relays = [counting_relay.Relay(address) for address in self._inner]
        for relay in relays:
            await relay.start(stack)
        owner = ids.Owner(ids.VmId(name), 1)
        observed = view.View(types.Environment.PRODUCTION)
        follower = control_client.ControlClient(
            observed, owner, SECRET, tuple(relay.address for relay in relays)
        )
        tasks.spawn(stack, follower.run())
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not observed.is_fresh(loop.time()):
                await asyncio.sleep(0.005)
        used_relay = max(relays, key=lambda relay: relay.byte_count)
        return Observer(observed, follower, used_relay)


@contextlib.asynccontextmanager
async def running_cluster(folder, members):
    """Start a Cluster and yield it; its processes stop at the end."""
    async with contextlib.AsyncExitStack() as stack:
        cluster = Cluster(stack, folder, members)
        await cluster.start()
        yield cluster


def _free_address():
    (port,) = ports.free_ports(1)
    return settings.Address(ports.LOOPBACK, port)


def _settings(number, inner, controls, folder):
    data = folder / f'{len(controls)}-{number}'
    control = settings.ControlSettings(
        _free_address(), _free_address(), inner, data
    )
    return settings.Settings(
        vm=ids.VmId(f'control{number}'),
        zone=ids.Zone('a'),
        environment=types.Environment.PRODUCTION,
        entry=None,
        control=control,
        controls=controls,
        secrets=settings.Secrets(SECRET, SECRET, SECRET),
    )
