"""One VM and its stand-in backend servers on one event loop."""

import asyncio
import dataclasses
import pathlib
import tempfile

import aiohttp

from bulrushrudder.config import document as document_config
from bulrushrudder.config import settings
from bulrushrudder.control import process as control_process
from bulrushrudder.core import ids
from bulrushrudder.core import keys
from bulrushrudder.documents import types
from bulrushrudder.entry import process as entry_process
from bulrushrudder.standins import engine
from bulrushrudder.standins import fleet
from bulrushrudder.utils import ports

START_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
MODEL = 'drafting'
SERVICE = 'portal'
BACKEND_SERVER_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A running control process, entry process and set of stand-ins.

    :param key: a key of the document's client account.
    :param index: log index of the document's promotion to production.
    """

    settings: settings.Settings
    session: aiohttp.ClientSession
    entry: entry_process.EntryProcess
    fleet: fleet.Fleet
    key: str
    index: int

    @property
    def callers_url(self):
        """Return the base URL for callers."""
        return f'http://{self.settings.entry.callers}'

    @property
    def headers(self):
        """Return the headers that authenticate a caller."""
        return {'Authorization': f'Bearer {self.key}'}


async def start(
    stack,
    document,
    token_s=engine.TOKEN_INTERVAL_S,
    prefill_s=engine.PREFILL_DURATION_S,
):
    """Start all processes and wait until requests can be served.

    :param stack: an AsyncExitStack that closes what is opened.
    :param document: text of version 1 of the document, with a route to
        the model drafting; {digest} is replaced by the key's digest.
    :param token_s: seconds between two tokens of a decode.
    :param prefill_s: seconds that a prefill takes.
    :returns: a Deployment.
    :raises TimeoutError: when a step takes longer than START_TIMEOUT_S.
    """
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    vm_settings = _settings(pathlib.Path(folder))
    key = keys.new_key()
    session = await stack.enter_async_context(aiohttp.ClientSession())
    await control_process.start(stack, vm_settings)
    entry = entry_process.EntryProcess(vm_settings)
    await entry.start(stack)
    server_fleet = await fleet.start(
        stack,
        session,
        f'http://{vm_settings.entry.backends}',
        vm_settings.secrets.backends.decode(),
        MODEL,
        SERVICE,
        token_s=token_s,
        prefill_s=prefill_s,
    )
    source = document.format(digest=keys.digest(key)).encode()
    index = await _submit(session, vm_settings, source)
    await _wait_until_ready(entry, index)
    return Deployment(vm_settings, session, entry, server_fleet, key, index)


def _settings(folder):
    addresses = [
        settings.Address(ports.LOOPBACK, port) for port in ports.free_ports(7)
    ]
    callers, backends, metrics, inner, operators, control_metrics, control = (
        addresses
    )
    return settings.Settings(
        vm=ids.VmId('vm1'),
        zone=ids.Zone('a'),
        environment=types.Environment.PRODUCTION,
        entry=settings.EntrySettings(callers, backends, metrics, inner),
        control=settings.ControlSettings(
            operators, control_metrics, control, folder
        ),
        controls=(control,),
        secrets=settings.Secrets(
            cluster=keys.new_key().encode(),
            operators=keys.new_key().encode(),
            backends=keys.new_key().encode(),
        ),
    )


async def _submit(session, vm_settings, source):
    """Submit and promote a document; return the index of the promotion."""
    url = f'http://{vm_settings.control.operators}/documents'
    secret = vm_settings.secrets.operators.decode()
    headers = {'Authorization': f'Bearer {secret}', 'X-Operator': 'demo'}
    promotion = {'version': 1, 'digest': document_config.digest(source)}
    await _post(session, f'{url}/trial', headers, data=source)
    return await _post(session, f'{url}/production', headers, json=promotion)


async def _post(session, url, headers, **content):
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            async with session.post(
                url, headers=headers, **content
            ) as response:
                answer = await response.json()
            if response.status == 200:
                return answer['index']
            if response.status != 503:
                raise AssertionError(
                    f'{url}: expected status 200 or 503, '
                    f'got {response.status}: {answer}'
                )
            await asyncio.sleep(POLL_INTERVAL_S)


async def _wait_until_ready(entry, index):
    async with asyncio.timeout(START_TIMEOUT_S):
        while not _is_ready(entry, index):
            await asyncio.sleep(POLL_INTERVAL_S)


def _is_ready(entry, index):
    now_s = asyncio.get_running_loop().time()
    state = entry.view.state
    return (
        entry.view.is_fresh(now_s)
        and entry.view.index >= index
        and len(state.servers.by_id) == BACKEND_SERVER_COUNT
        and state.sessions.by_vm
    )
