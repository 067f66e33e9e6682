"""Starts the programs of the deploy file on loopback addresses."""

import asyncio
import json
import math
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[3]
INJECTED = pathlib.Path(__file__).parent / 'injected'
PORTS = {'frontend': 8221, 'ready': 8224, 'control_plane': 8229}
INNER_PORT = 7610
PORTS_OF_VMS = {'metrics': 7602, 'inner': INNER_PORT}
STOP_GRACE_S = 8.0
START_TIMEOUT_S = 30.0
SEEDS = 3
# The operator's list of machines is this old.
SEED_LAG_S = 3.0
BOUNDS = {
    'seed_lag_s': 3,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'config_apply_ms': 2000,
    'recover_s': 12,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_min_extra': 54,
    'quota_window_s': 8,
    'quota_tolerance': 140000,
    'lease_ms': 3000,
    'cold_overrun': 1.5,
    'cold_tolerance': 5,
}
_SECTION = re.compile(r'\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)\}\}')


class Machine:
    """A machine with an address of its own and one program.

    :param fleet: the Fleet.
    :param role: name of a role in the deploy file.
    :ivar starts: how often the program was started.
    :ivar stopped: whether the soak ended the program, or has paused it.
    :ivar start_times: for each start the seconds since the soak began and
        the time of day.
    :ivar joined_s: when the machine was added.
    :ivar left_s: when it was lost for good.
    :ivar root: the checkout whose program runs.
    """

    def __init__(self, fleet, name, role, ip, zone):
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.starts = 0
        self.start_times = []
        self.stopped = True
        self.joined_s = -math.inf
        self.left_s = math.inf
        self.root = fleet.root
        self._fleet = fleet
        self._process = None
        self._lost_disks = 0

    @property
    def process(self):
        """Return a name of the running program that no other has."""
        return f'{self.name}/{self.starts}'

    @property
    def log(self):
        """Return the path of the log of all starts."""
        return self._fleet.folder / f'{self.name}.log'

    @property
    def data_folder(self):
        """Return the path of the folder on the machine's disk."""
        return self._fleet.folder / f'data-{self.name}'

    @property
    def pid(self):
        """Return the id of the process."""
        return self._process.pid

    @property
    def exit_code(self):
        """Return the exit code; None while the program runs."""
        return self._process.poll()

    @property
    def detour(self):
        """Return the path of the file that leads connections elsewhere."""
        return self._fleet.folder / f'detour-{self.name}'

    def address(self, port_name):
        """Return the address and port of a listener."""
        return self.ip, {**PORTS, **PORTS_OF_VMS}[port_name]

    def start(self, bootstrap=False, seeds=None):
        """Start the program as the deploy file says.

        :param seeds: machines that the settings name; the operator's list
            if it is None.
        """
        fleet = self._fleet
        if seeds is None:
            seeds = fleet.seeds(bootstrap)
        deploy = tomllib.loads(
            (self.root / 'deploy' / 'system.toml').read_text()
        )
        role = deploy['roles'][self.role]
        settings = fleet.folder / f'{self.name}.yaml'
        template = (self.root / role['template']).read_text()
        fields = self._fields(bootstrap, seeds)
        settings.write_text(_render(template, fields))
        words = [
            str(settings) if word.startswith('/etc/') else word
            for word in role['run'].split()
        ]
        words[0] = sys.executable
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': str(self.root),
            **{
                name: _render(text, fields)
                for name, text in role.get('env', {}).items()
            },
        }
        if fleet.sync_s:
            environment['SOAK_SYNC_S'] = str(fleet.sync_s)
        if fleet.cuts_paths:
            environment['SOAK_HOST'] = self.ip
            environment['SOAK_DETOUR'] = str(self.detour)
        if fleet.sync_s or fleet.cuts_paths:
            environment['PYTHONPATH'] = f'{INJECTED}:{self.root}'
        self.start_times.append((fleet.record.now_s(), time.time()))
        with open(self.log, 'ab') as log:
            self._process = subprocess.Popen(
                words, cwd=self.root, env=environment, stdout=log, stderr=log
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

    def lose_disk(self):
        """Empty the disk; the files of a lost one are kept as evidence."""
        self._lost_disks += 1
        name = f'{self.data_folder.name}-lost-{self._lost_disks}'
        self.data_folder.rename(self.data_folder.with_name(name))
        self._fleet.record.write(f'{self.name}: lost its disk')

    def _fields(self, bootstrap, seeds):
        return {
            'node_name': self.name,
            'zone': self.zone,
            'ip': self.ip,
            'bootstrap': bootstrap,
            'seeds': [
                f'{machine.ip}:{PORTS["control_plane"]}' for machine in seeds
            ],
            'port_range': [INNER_PORT, INNER_PORT + 15],
            'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'limits': self._fleet.limits,
            'data_dir': str(self.data_folder),
            'listen': {
                name: f'{self.ip}:{port}' for name, port in PORTS.items()
            },
        }


class Fleet:
    """The machines of a small deployment.

    :param root: the checkout whose programs run.
    :ivar controls: machines of the core that are not lost for good.
    :ivar edges: machines that clients reach.
    :ivar sync_s: seconds that a sync of a disk takes beyond the usual.
    :ivar cuts_paths: whether machines may be cut off from servers.
    :ivar limits: what a machine has, as the deploy file may ask for it.
    """

    def __init__(self, folder, record, rng, root=ROOT, controls=3, edges=2):
        self.folder = folder
        self.record = record
        self.root = pathlib.Path(root)
        self.sync_s = 0.0
        self.cuts_paths = False
        self.limits = {'memory_mb': '', 'max_fds': ''}
        self._rng = rng
        self.network, self._held_network = _take_network(rng)
        self.controls = [
            self._control(n, zone)
            for n, zone in zip(range(1, controls + 1), 'abcabc', strict=False)
        ]
        self._ever_controls = list(self.controls)
        self.edges = [
            self._machine(f'edge-{n}', 'entry', 100 + n, zone)
            for n, zone in zip(range(1, edges + 1), 'abcabc', strict=False)
        ]

    @property
    def machines(self):
        """Return all machines that are not lost for good."""
        return [*self.controls, *self.edges]

    @property
    def lost(self):
        """Return the machines of the core that are lost for good."""
        return [m for m in self._ever_controls if m not in self.controls]

    @property
    def listed(self):
        """Return the core as the operator's list has it, which lags."""
        at_s = self.record.now_s() - SEED_LAG_S
        return [
            m for m in self._ever_controls if m.joined_s <= at_s < m.left_s
        ]

    def seeds(self, bootstrap):
        """Return the machines that a settings file names as seeds."""
        listed = self.listed
        if bootstrap or len(listed) <= SEEDS:
            return listed[:SEEDS]
        return self._rng.sample(listed, SEEDS)

    def add_control(self, zone):
        """Return a new machine of the core, at an address of its own."""
        machine = self._control(len(self._ever_controls) + 1, zone)
        machine.joined_s = self.record.now_s()
        self.controls.append(machine)
        self._ever_controls.append(machine)
        return machine

    def remove_control(self, machine):
        """Take a machine of the core for lost for good."""
        machine.left_s = self.record.now_s()
        self.controls.remove(machine)

    def end(self):
        """End all programs that this fleet started."""
        for machine in (*self._ever_controls, *self.edges):
            machine.end()
        self._held_network.close()

    async def watch(self):
        """Record programs that end by themselves, until cancelled."""
        while True:
            for machine in self.machines:
                machine.check()
            await asyncio.sleep(0.05)

    def _control(self, number, zone):
        return self._machine(f'core-{number}', 'control', number, zone)

    def _machine(self, name, role, host, zone):
        return Machine(self, name, role, f'{self.network}.{host}', zone)


def _take_network(rng):
    """Take a loopback network that no other fleet uses.

    A fleet of the same seed draws the same network, and its programs may
    just be down, so that their ports are free.

    :returns: its first three numbers, and the socket that holds it.
    """
    while True:
        network = f'127.{rng.randint(16, 250)}.{rng.randint(1, 250)}'
        holding = socket.socket()
        try:
            holding.bind((f'{network}.254', PORTS['control_plane']))
            holding.listen()
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((f'{network}.1', PORTS['control_plane']))
        except OSError:
            holding.close()
            continue
        return network, holding


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
