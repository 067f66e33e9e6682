"""Starts the programs of the deploy file on loopback addresses.

Everything around them is a stand-in: the operator, plain runners, clients
and the platform that starts, stops and restarts machines. A case writes
what it sees to ``record.txt`` in its folder.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FRONTEND, READY, CONTROL, INNER = 8221, 8224, 8229, 7600
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The bounds of a small site's sheet (SYSTEM.md).
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'downgrade_slack_ms': 250,
    'skew_max_ms': 5000,
    'revoke_strict': False,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_min_extra': 58,
    'quota_window_s': 8,
    'quota_overrun': 0.1,
    'quota_tolerance': 140000,
    'recover_s': 12,
    'transit_ms': 120,
    'cache_reuse_s': 7,
    'fencing_enforced': True,
    'lease_ms': 3000,
    'thaw_ms': 300,
}
MEMORY_MB = {'entry': 150, 'control': 296}
MAX_FDS = {'entry': 4100, 'control': 4096}
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_VALUE = re.compile(r'\{\{([\w.]+)\}\}')


class Record:
    """The record of a case: one line an event, with its time."""

    def __init__(self, path):
        self._file = open(path, 'w', buffering=1)
        self._start_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start_s

    def write(self, text):
        """Write one line."""
        line = f'{self.now_s():8.3f} {text}'
        self._file.write(line + '\n')
        print(line, flush=True)


def _look_up(fields, name):
    found = fields
    for key in name.split('.'):
        if found is None:
            return None
        if isinstance(found, list):
            found = found[int(key)]
        else:
            found = found.get(key)
    return found


def _text(value):
    if value is None:
        return ''
    if isinstance(value, bool | dict):
        return json.dumps(value)
    if isinstance(value, list):
        return ','.join(map(_text, value))
    return str(value)


def render(template, fields):
    """Fill a template as DEPLOY.md tells; only what this project uses."""

    def section(match):
        items = _look_up(fields, match.group(1)) or []
        return ''.join(
            match.group(2)
            .replace('{{.}}', _text(item))
            .replace('{{,}}', '' if n == len(items) - 1 else ',')
            for n, item in enumerate(items)
        )

    return _VALUE.sub(
        lambda match: _text(_look_up(fields, match.group(1))),
        _SECTION.sub(section, template),
    )


class Machine:
    """A machine with its own loopback address and one program."""

    def __init__(self, site, name, role, ip, zone):
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self._site = site

    def start(self, bootstrap=False):
        """Start the program with the command of the deploy file."""
        site = self._site
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles'][self.role]
        fields = {
            'node_name': self.name,
            'role': self.role,
            'ip': self.ip,
            'zone': self.zone,
            'region': 'region',
            'port_range': [INNER, INNER + 15],
            'seeds': [f'{c.ip}:{CONTROL}' for c in site.controls[:3]],
            'bootstrap': bootstrap,
            'bounds': BOUNDS,
            'data_dir': str(site.folder / f'data-{self.name}'),
            'listen': {
                'frontend': f'{self.ip}:{FRONTEND}',
                'ready': f'{self.ip}:{READY}',
                'control_plane': f'{self.ip}:{CONTROL}',
            },
            'limits': {
                'memory_mb': MEMORY_MB[self.role],
                'max_fds': MAX_FDS[self.role],
            },
        }
        settings = site.folder / f'{self.name}.yaml'
        template = (ROOT / role['template']).read_text()
        settings.write_text(render(template, fields))
        if self.role == 'control':
            pathlib.Path(fields['data_dir']).mkdir(exist_ok=True)
        words = [
            str(settings) if word == '/etc/bulrushrudder/local.toml' else word
            for word in role['run'].split()
        ]
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        for name, text in role.get('env', {}).items():
            environment[name] = render(text, fields)
        with open(site.folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        site.record.write(f'platform: {self.name} started')

    def signal(self, number):
        """Send a signal to the program."""
        self._site.record.write(f'platform: {self.name} gets {number.name}')
        self.process.send_signal(number)

    @property
    def runs(self):
        """Return whether the program runs."""
        return self.process is not None and self.process.poll() is None

    def resident_mb(self):
        """Return the resident memory of the program in MB."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        return int(re.search(r'VmRSS:\s+(\d+)', status).group(1)) / 1024

    def log_text(self):
        """Return the log of all starts."""
        return (self._site.folder / f'{self.name}.log').read_text()


class Site:
    """A small deployment: control and entry machines, and the operator."""

    def __init__(self, record, controls=3, entries=2):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._random = random.Random()
        self.network = self._take_network()
        zones = ('zone-a', 'zone-b', 'zone-c')
        self.controls = [
            Machine(
                self,
                f'core-{n + 1}',
                'control',
                f'{self.network}.{n + 1}',
                zones[n % 3],
            )
            for n in range(controls)
        ]
        self.entries = [
            Machine(
                self,
                f'edge-{n + 1}',
                'entry',
                f'{self.network}.{101 + n}',
                zones[n % 3],
            )
            for n in range(entries)
        ]

    def _take_network(self):
        while True:
            network = (
                f'127.{self._random.randint(20, 240)}'
                f'.{self._random.randint(1, 250)}'
            )
            with socket.socket() as probe:
                with contextlib.suppress(OSError):
                    probe.bind((f'{network}.1', CONTROL))
                    return network

    @property
    def machines(self):
        """Return all machines."""
        return [*self.controls, *self.entries]

    def start(self, bootstrap=False):
        """Start all machines."""
        for machine in self.machines:
            machine.start(bootstrap)

    async def wait_ready(self, timeout_s=30.0, entries=None):
        """Wait until entry machines say that they are ready."""
        end_s = time.monotonic() + timeout_s
        for entry in entries or self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > end_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def is_ready(self, entry):
        """Ask an entry machine as the platform does."""
        try:
            answer = await call(
                entry.ip, READY, 'GET', '/bulrushrudder/readyz', timeout_s=1.0
            )
        except (OSError, TimeoutError, EOFError, ValueError):
            return False
        return answer.status == 200

    async def put_configuration(self, configuration, timeout_s=15.0):
        """Send a configuration until it is acknowledged, as operators do."""
        body = json.dumps(configuration, separators=(',', ':')).encode()
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            control = self._random.choice(self.controls)
            try:
                answer = await call(
                    control.ip,
                    CONTROL,
                    'PUT',
                    '/bulrushrudder/config',
                    [('Content-Type', 'application/json')],
                    body,
                    timeout_s=2.0,
                )
            except (OSError, TimeoutError, EOFError, ValueError):
                await asyncio.sleep(0.1)
                continue
            if answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        """End all programs and remove the folder."""
        for machine in self.machines:
            if machine.runs:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get('KEEP') == '1':
            self.record.write(f'kept {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """An HTTP answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def call(
    host, port, method, path, headers=(), body=b'', timeout_s=5.0
):
    """Send one request on a new connection and read the whole answer.

    :raises EOFError: if the connection ends before the answer is complete.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            names = {name.lower() for name, _ in headers}
            lines = [f'{method} {path} HTTP/1.1']
            if 'host' not in names:
                lines.append(f'Host: {host}:{port}')
            lines += [f'{name}: {value}' for name, value in headers]
            if body or method in ('POST', 'PUT'):
                lines.append(f'Content-Length: {len(body)}')
            head = ('\r\n'.join(lines) + '\r\n\r\n').encode()
            writer.write(head + body)
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.transport.abort()


async def read_head(reader):
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1')[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_answer(reader):
    """Read one answer."""
    first, headers = await read_head(reader)
    status = int(first.split()[1])
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return Answer(status, headers, body)
            body += piece[:-2]
    length = int(headers.get('content-length', 0))
    return Answer(status, headers, await reader.readexactly(length))


class PlainRunner:
    """A sound runner of a plain service, which answers after some time.

    :ivar runs: the attempt ids that it began to run, in order.
    """

    def __init__(self, site, name, service, ip, port, zone, work_s=0.02):
        self.name = name
        self.service = service
        self.ip = ip
        self.port = port
        self.zone = zone
        self.work_s = work_s
        self.runs = []
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self._site = site
        self._sequence = 0
        self._slots = asyncio.Semaphore(6)
        self._server = None
        self._beating = None

    async def start(self):
        """Listen and begin to send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port
        )
        self._beating = asyncio.create_task(self._beat())

    async def close(self):
        """Stop at once."""
        self._beating.cancel()
        self._server.close()

    async def _beat(self):
        while True:
            await self.announce()
            await asyncio.sleep(1.2)

    async def announce(self):
        """Send a heartbeat to one control machine after another."""
        self._sequence += 1
        body = json.dumps(
            {
                'service': self.service,
                'address': f'{self.ip}:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': 6,
                'state': self.state,
                'cold_remaining_ms': 0,
                'sequence': self._sequence,
                'born': self.born,
            }
        ).encode()
        for control in random.sample(
            self._site.controls, len(self._site.controls)
        ):
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                answer = await call(
                    control.ip,
                    CONTROL,
                    'PUT',
                    f'/bulrushrudder/instances/{self.name}',
                    [('Content-Type', 'application/json')],
                    body,
                    timeout_s=1.0,
                )
                if 200 <= answer.status < 300:
                    return True
        return False

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = b''
                if 'content-length' in headers:
                    size = int(headers['content-length'])
                    body = await reader.readexactly(size)
                await self.answer(first, headers, body, writer)
        except (EOFError, OSError, asyncio.CancelledError):
            writer.transport.abort()

    async def answer(self, first, headers, body, writer):
        """Answer one request."""
        attempt = headers.get('attempt-id', '')
        if headers.get('expect-instance', self.name) != self.name:
            self.send(writer, 421, attempt, b'', 'Not-Executed: 1\r\n')
            return
        if first.split()[1] == '/healthz':
            self.send(writer, 200, attempt, b'', f'Instance-Id: {self.name}\r\n')
            return
        async with self._slots:
            self.runs.append(attempt)
            await asyncio.sleep(self.work_s)
        text = f'{self.name} {attempt}'.encode()
        self.send(writer, 200, attempt, text, f'Server-Signature: {attempt}\r\n')

    def send(self, writer, status, attempt, body, extra=''):
        """Write an answer."""
        head = (
            f'HTTP/1.1 {status} X\r\nAttempt-Id: {attempt}\r\n{extra}'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)


def new_id():
    """Return a new id of a client's attempt."""
    return f'{random.getrandbits(64):016x}'


def route(name, prefix, kind, service, timeout_ms=2500, **others):
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': 'site.example',
        'path_prefix': prefix,
        'route_type': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 200,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
        'public': False,
        'sticky': False,
        'resumable': False,
        **others,
    }


KEY = 'i9n73hh2b9wu3fexd9dn'
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
TENANT = {
    'name': 'tenant-1',
    'api_keys': [KEY],
    'priority': 1,
    'unit': 'tokens',
    'uncached_tokens': 200,
    'rate_per_s': 360000,
    'burst': 360000,
}


def configuration(version, routes, services):
    """Return a configuration with one tenant."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': LIMITS,
        'tenants': [TENANT],
    }


def plain_service(name):
    """Return a plain service of a configuration."""
    return {
        'name': name,
        'health_path': '/healthz',
        'max_connections': 110,
        'protocol': 'h1',
        'tls': False,
    }


def client_headers(attempt, deadline_ms=2500):
    """Return the headers of a client's request."""
    return [
        ('Host', 'site.example'),
        ('Attempt-Id', attempt),
        ('Deadline-Ms', str(deadline_ms)),
        ('Authorization', f'Bearer {KEY}'),
    ]


def main(case, folder):
    """Run a case and exit with its result.

    :param case: coroutine function of the Record; it returns HELD, BROKEN
        or NOT_RUN.
    :param folder: the folder of the case.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    record.write(f'TROUBLE={int(TROUBLE)}')
    try:
        result = asyncio.run(case(record))
    except Exception as error:
        record.write(f'the case could not run: {error!r}')
        result = NOT_RUN
        if os.environ.get('KEEP') == '1':
            raise
    record.write(f'exit {result}')
    sys.exit(result)
