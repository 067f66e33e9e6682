"""A stand-in of the platform: starts the programs with the settings that
the deploy file's templates give, and plays the operator.

Every machine has a loopback address of its own, since the ports are the
same on all machines.
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
PREFIX = '/bulrushrudder'
START_TIMEOUT_S = 30.0
PORT_NAMES = ('frontend', 'ready', 'control_plane', 'inner')
METRICS_PORT = 7602
BOUNDS = {
    'contact_ms': 3000,
    'drain_ms': 2000,
    'grace_s': 8,
    'config_apply_ms': 2000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_min_extra': 54,
    'quota_window_s': 8,
    'quota_tolerance': 140000,
    'lease_ms': 3000,
}
ENGINE = {
    'slots': 64,
    'kv_capacity': 43304,
    'kv_bytes': 163840,
    'link_mbps': 1400000.0,
    'stride': 14,
    'most': 12,
    'kv_retention_s': 0.5,
    'switch_s': 6.0,
    'models': [{'name': 'm'}],
}
KEY = 'i9n73hh2b9wu3fexd9dn'
HOST = 'ficu95.example'
_PLACEHOLDER = re.compile(r'\{\{([^}]*)\}\}')


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(folder / 'record.txt', 'w')
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line with the time."""
        self._file.write(f'{self.now_s():8.3f} s  {text}\n')
        self._file.flush()


def route(name, kind, service, timeout_ms, **changes):
    """Return a route of the configuration; its prefix is /NAME/."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'route_type': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 150,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
        'public': False,
        'sticky': False,
        'resumable': False,
        **changes,
    }


def stream_route(name, **changes):
    """Return a streaming route to the engines."""
    settings = {
        'target_latency_ms': 900,
        'priority': 1,
        'sticky': True,
        'target_itl_ms': 300,
        **changes,
    }
    return route(name, 'streaming', 'engines', 14000, **settings)


def configuration(*routes):
    """Return a configuration with two services and one tenant."""
    common = {'health_path': '/healthz', 'protocol': 'h1', 'tls': False}
    return {
        'version': 7,
        'routes': list(routes),
        'services': [
            {
                'name': 'engines',
                'max_connections': 360,
                'engine': ENGINE,
                **common,
            },
            {'name': 'plain', 'max_connections': 100, **common},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'hule930',
                'api_keys': [KEY],
                'priority': 1,
                'unit': 'tokens',
                'uncached_tokens': 200,
                'rate_per_s': 360000,
                'burst': 360000,
            }
        ],
    }


class Machine:
    """A machine with one program.

    :ivar process: the running program, or None.
    """

    def __init__(self, platform, name, role, ip, zone):
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self._platform = platform

    def address(self, port_name):
        """Return the address and port of a listener."""
        return self.ip, self._platform.ports[port_name]

    def start(self, bootstrap):
        """Start the program with the command of the deploy file."""
        platform = self._platform
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        role = deploy['roles'][self.role]
        settings = platform.folder / f'{self.name}.yaml'
        template = (ROOT / role['template']).read_text()
        settings.write_text(_render(template, self._fields(bootstrap)))
        words = [
            str(settings) if word.startswith('/etc/') else word
            for word in role['run'].split()
        ]
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment.update(role.get('env', {}))
        with open(platform.folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        platform.record.write(f'{self.name} started, process started')

    def memory_mb(self):
        """Return the resident memory of the program in MB."""
        with contextlib.suppress(OSError):
            text = pathlib.Path(f'/proc/{self.process.pid}/statm').read_text()
            pages = int(text.split()[1])
            return pages * os.sysconf('SC_PAGE_SIZE') / 1e6
        return 0.0

    def kill(self):
        """Kill the program."""
        self.process.kill()
        self.process.wait()

    def _fields(self, bootstrap):
        ports = self._platform.ports
        fields = {
            'node_name': self.name,
            'zone': self.zone,
            'ip': self.ip,
            'bootstrap': bootstrap,
            'seeds': [
                f'{m.ip}:{ports["control_plane"]}'
                for m in self._platform.controls
            ],
            'port_range': [ports['inner'], ports['inner'] + 15],
            'bounds': BOUNDS,
            'data_dir': str(self._platform.folder / f'data-{self.name}'),
            'listen': {
                name: f'{self.ip}:{ports[name]}'
                for name in ('frontend', 'ready', 'control_plane')
            },
        }
        return fields


class Platform:
    """The machines of a small deployment, and its operator.

    :ivar controls: machines of the core.
    :ivar edges: machines that clients reach.
    """

    def __init__(self, folder, record, controls=3, edges=1):
        self.folder = folder
        self.record = record
        network = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        self.controls = [
            Machine(self, f'core-{n + 1}', 'control', f'{network}.{n + 1}', z)
            for n, z in zip(range(controls), 'abcde')
        ]
        self.edges = [
            Machine(self, f'edge-{n + 1}', 'entry', f'{network}.{n + 101}', z)
            for n, z in zip(range(edges), 'abcde')
        ]
        self.ports = dict(
            zip(PORT_NAMES, _free_ports(len(PORT_NAMES)), strict=True)
        )
        for machine in self.machines:
            _check_free(machine.ip, METRICS_PORT)

    @property
    def machines(self):
        """Return all machines."""
        return [*self.controls, *self.edges]

    def start(self):
        """Start all programs for the first time."""
        for machine in self.machines:
            machine.start(bootstrap=True)

    async def put_configuration(self, content):
        """Send a configuration until it is acknowledged."""
        body = json.dumps(content).encode()
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for machine in self.controls:
                status, _ = await call(
                    machine.address('control_plane'),
                    'PUT',
                    f'{PREFIX}/config',
                    body,
                )
                if status == 200:
                    self.record.write(
                        f'operator: version {content["version"]} '
                        f'acknowledged by {machine.name}'
                    )
                    return
            await asyncio.sleep(0.2)
        raise CannotRun('no control process acknowledged the configuration')

    async def wait_until_ready(self):
        """Wait until every edge machine says that it is ready."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        for machine in self.edges:
            while True:
                status, _ = await call(
                    machine.address('ready'), 'GET', f'{PREFIX}/readyz', b''
                )
                if status == 200:
                    break
                if time.monotonic() > deadline_s:
                    raise CannotRun(f'{machine.name} does not get ready')
                await asyncio.sleep(0.1)

    def stop(self):
        """End all programs that this platform started."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


async def call(address, method, path, body, timeout_s=1.0):
    """Make a call on a new connection.

    :returns: the status and the body; 0 without a response in time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            head = (
                f'{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n'
                'Content-Type: application/json\r\nConnection: close\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            writer.write(head.encode() + body)
            answer = await reader.read()
        head, _, content = answer.partition(b'\r\n\r\n')
        return int(head.split()[1]), content
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b''
    finally:
        if writer is not None:
            writer.close()


def run_case(folder, case, limit_s=110.0, **machines):
    """Run a case and exit with 0 if the rule held, 1 if not, 2 on errors.

    :param case: coroutine function of (platform, trouble) that returns
        whether the rule was broken.
    :param machines: numbers of machines, as for Platform.
    """
    folder = pathlib.Path(folder).resolve().parent
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    temporary = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
    platform = None
    code = 2

    async def run():
        async with asyncio.timeout(limit_s):
            return await case(platform, trouble)

    def interrupted(*_):
        raise CannotRun('interrupted')

    signal.signal(signal.SIGTERM, interrupted)
    signal.signal(signal.SIGINT, interrupted)
    try:
        platform = Platform(temporary, record, **machines)
        record.write(f'disruption: {"yes" if trouble else "no"}')
        code = 1 if asyncio.run(run()) else 0
        record.write('the rule was broken' if code else 'the rule held')
    except (CannotRun, TimeoutError, OSError) as error:
        record.write(f'the case could not run: {error!r}')
    finally:
        if platform is not None:
            platform.stop()
        if os.environ.get('KEEP'):
            print(f'logs: {temporary}')
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    print({0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.exit(code)


def _free_ports(count):
    """Return ports that are free now; the inner one with a range above."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.socket()) for _ in range(count)
        ]
        for opened in sockets:
            opened.bind(('127.0.0.1', 0))
        return [opened.getsockname()[1] for opened in sockets]


def _check_free(ip, port):
    with socket.socket() as opened:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            opened.bind((ip, port))
        except OSError as error:
            raise CannotRun(f'{ip}:{port} is not free') from error


def _render(template, fields):
    """Fill a template of the deploy file."""

    def value(path):
        found = fields
        for key in path.split('.'):
            found = found[int(key)] if key.isdecimal() else found[key]
        return str(found).lower() if isinstance(found, bool) else str(found)

    def section(match):
        items = fields[match.group(1)]
        parts = []
        for number, item in enumerate(items):
            text = match.group(2).replace('{{.}}', item)
            last = number == len(items) - 1
            parts.append(text.replace('{{,}}', '' if last else ','))
        return ''.join(parts)

    text = re.sub(
        r'\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.S
    )
    return _PLACEHOLDER.sub(lambda match: value(match.group(1)), text)
