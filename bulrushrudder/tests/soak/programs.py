"""Starts the programs of the deploy file on loopback addresses."""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[3]
PORTS = {'frontend': 8221, 'ready': 8224, 'control_plane': 8229}
INNER_PORT = 7610
STOP_GRACE_S = 8.0
START_TIMEOUT_S = 30.0
BOUNDS = {
    'grace_s': 8,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_min_extra': 54,
    'quota_window_s': 8,
    'quota_tolerance': 140000,
    'lease_ms': 3000,
}
_SECTION = re.compile(r'\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)\}\}')


class Machine:
    """A machine with an address of its own and one program.

    :param fleet: the Fleet.
    :param role: name of a role in the deploy file.
    :ivar starts: how often the program was started.
    :ivar stopped: whether the soak ended the program, or has paused it.
    """

    def __init__(self, fleet, name, role, ip, zone):
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.starts = 0
        self.stopped = True
        self._fleet = fleet
        self._process = None

    @property
    def process(self):
        """Return a name of the running program that no other has."""
        return f'{self.name}/{self.starts}'

    @property
    def log(self):
        """Return the path of the log of all starts."""
        return self._fleet.folder / f'{self.name}.log'

    @property
    def pid(self):
        """Return the id of the process."""
        return self._process.pid

    @property
    def exit_code(self):
        """Return the exit code; None while the program runs."""
        return self._process.poll()

    def address(self, port_name):
        """Return the address and port of a listener."""
        return self.ip, PORTS[port_name]

    def start(self, bootstrap=False):
        """Start the program as the deploy file says."""
        fleet = self._fleet
        role = fleet.deploy['roles'][self.role]
        settings = fleet.folder / f'{self.name}.yaml'
        template = (fleet.root / role['template']).read_text()
        settings.write_text(_render(template, self._fields(bootstrap)))
        words = [
            str(settings) if word.startswith('/etc/') else word
            for word in role['run'].split()
        ]
        words[0] = sys.executable
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': str(fleet.root),
            **role.get('env', {}),
        }
        with open(self.log, 'ab') as log:
            self._process = subprocess.Popen(
                words, cwd=fleet.root, env=environment, stdout=log, stderr=log
            )
        self.starts += 1
        self.stopped = False
        fleet.record.write(f'{self.name}: started')

    def signal(self, number):
        """Send a signal to the program."""
        self._fleet.record.write(f'{self.name}: {number.name}')
        if number in (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP):
            self.stopped = True
        self._process.send_signal(number)
        if number is signal.SIGCONT:
            self.stopped = False

    async def wait(self):
        """Wait until the program has ended; kill it after its time."""
        deadline_s = asyncio.get_running_loop().time() + STOP_GRACE_S
        while self._process.poll() is None:
            if asyncio.get_running_loop().time() > deadline_s:
                self.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)

    def check(self):
        """Record a program that ended by itself."""
        if not self.stopped and self._process.poll() is not None:
            self.stopped = True
            code = self._process.returncode
            self._fleet.record.add_break(
                'FAULT', f'{self.name} ended by itself, exit code {code}'
            )

    def end(self):
        """End the program, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def _fields(self, bootstrap):
        fleet = self._fleet
        return {
            'node_name': self.name,
            'zone': self.zone,
            'ip': self.ip,
            'bootstrap': bootstrap,
            'seeds': [
                f'{machine.ip}:{PORTS["control_plane"]}'
                for machine in fleet.controls[:3]
            ],
            'port_range': [INNER_PORT, INNER_PORT + 15],
            'bounds': BOUNDS,
            'data_dir': str(fleet.folder / f'data-{self.name}'),
            'listen': {
                name: f'{self.ip}:{port}' for name, port in PORTS.items()
            },
        }


class Fleet:
    """The machines of a small deployment.

    :param root: the checkout whose programs run.
    :ivar controls: machines of the core.
    :ivar edges: machines that clients reach.
    """

    def __init__(self, folder, record, rng, root=ROOT, controls=3, edges=2):
        self.folder = folder
        self.record = record
        self.root = pathlib.Path(root)
        self.deploy = tomllib.loads(
            (self.root / 'deploy' / 'system.toml').read_text()
        )
        network, self._claim = _claim_network(rng)
        self.controls = [
            Machine(self, f'core-{n}', 'control', f'{network}.{n}', zone)
            for n, zone in zip(range(1, controls + 1), 'abcabc', strict=False)
        ]
        self.edges = [
            Machine(self, f'edge-{n}', 'entry', f'{network}.{100 + n}', zone)
            for n, zone in zip(range(1, edges + 1), 'abcabc', strict=False)
        ]

    @property
    def machines(self):
        """Return all machines."""
        return [*self.controls, *self.edges]

    def end(self):
        """End all programs that this fleet started."""
        for machine in self.machines:
            machine.end()
        self._claim.close()

    async def watch(self):
        """Record programs that end by themselves, until cancelled."""
        while True:
            for machine in self.machines:
                machine.check()
            await asyncio.sleep(0.05)


def _claim_network(rng):
    """Claim a loopback network, also before another play of the seed.

    :returns: its first three numbers, and a socket that claims it until
        it is closed.
    """
    while True:
        network = f'127.{rng.randint(16, 250)}.{rng.randint(1, 250)}'
        claim = socket.socket()
        try:
            claim.bind((f'{network}.254', INNER_PORT))
            claim.listen()
        except OSError:
            claim.close()
            continue
        with socket.socket() as opened:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                opened.bind((f'{network}.1', PORTS['control_plane']))
            except OSError:
                claim.close()
                continue
        return network, claim


def _render(template, fields):
    """Fill a template of the deploy file."""

    def lookup(match):
        found = fields
        for key in match.group(1).split('.'):
            found = found[int(key)] if key.isdecimal() else found[key]
        return json.dumps(found) if isinstance(found, bool) else str(found)

    def repeat(match):
        text = match.group(2)
        items = fields[match.group(1)]
        return ''.join(
            text.replace('{{.}}', item).replace(
                '{{,}}', ',' if item != items[-1] else ''
            )
            for item in items
        )

    return _PLACEHOLDER.sub(lookup, _SECTION.sub(repeat, template))
