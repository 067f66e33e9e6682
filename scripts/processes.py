"""A fleet of control and entry processes on the loopback interface."""

import dataclasses
import json
import pathlib
import shutil
import signal
import subprocess
import sys

import relays

from bulrushrudder.core import keys
from bulrushrudder.utils import ports

STOP_TIMEOUT_S = 15
SECRET_KINDS = ('cluster', 'operators', 'backends')


@dataclasses.dataclass(slots=True)
class Process:
    """One process of the fleet.

    :param command: the sub-command, `entry` or `control`.
    :param settings: path of its settings file.
    :param addresses: host and port of each listener, by name.
    :param running: the operating system process, once started.
    """

    name: str
    command: str
    settings: pathlib.Path
    addresses: dict[str, dict]
    running: subprocess.Popen | None = None

    def url(self, listener):
        """Return the base URL of a listener."""
        address = self.addresses[listener]
        return f'http://{address["host"]}:{address["port"]}'


class Fleet:
    """Starts, kills, freezes and stops processes.

    :param folder: folder for settings, secrets, logs and data.
    :param controls: number of control processes.
    :param entries: number of entry processes.
    :param with_relays: whether each entry process reaches the control
        processes through relays of its own, which can be cut.
    """

    def __init__(self, folder, controls, entries, with_relays=False):
        self.folder = folder
        self.secrets = {kind: keys.new_key() for kind in SECRET_KINDS}
        for kind, secret in self.secrets.items():
            (folder / f'{kind}.secret').write_text(secret)
        self.controls = [
            self._create_process(f'control{n + 1}', 'control')
            for n in range(controls)
        ]
        self.entries = [
            self._create_process(f'vm{n + 1}', 'entry') for n in range(entries)
        ]
        self.by_name = {p.name: p for p in (*self.controls, *self.entries)}
        self.relays_by_name = {}
        for process in self.by_name.values():
            self._write_settings(process, with_relays)

    async def start_relays(self, stack):
        """Open the relays of all processes.

        :param stack: an AsyncExitStack that closes them.
        """
        for process_relays in self.relays_by_name.values():
            for relay in process_relays:
                await relay.start(stack)

    def start(self, name):
        """Start a process."""
        process = self.by_name[name]
        args = ['-m', 'bulrushrudder', process.command]
        with open(process.settings.with_suffix('.log'), 'ab') as log:
            process.running = subprocess.Popen(
                [sys.executable, *args, str(process.settings)],
                stderr=log,
                stdout=log,
            )

    def start_all(self):
        """Start every process."""
        for name in self.by_name:
            self.start(name)

    def kill(self, name):
        """Kill a process with SIGKILL and wait for its end."""
        running = self.by_name[name].running
        running.kill()
        running.wait()

    def freeze(self, name):
        """Suspend a process with SIGSTOP."""
        self.by_name[name].running.send_signal(signal.SIGSTOP)

    def thaw(self, name):
        """Resume a frozen process with SIGCONT."""
        self.by_name[name].running.send_signal(signal.SIGCONT)

    def delete_data(self, name):
        """Remove the data folder of a process that has ended."""
        shutil.rmtree(self.folder / f'data-{name}')

    def terminate(self, name):
        """Send SIGTERM to a process and return its exit code."""
        running = self.by_name[name].running
        running.send_signal(signal.SIGTERM)
        return running.wait(STOP_TIMEOUT_S)

    def stop_all(self):
        """Kill every process that is still running."""
        for process in self.by_name.values():
            running = process.running
            if running is not None and running.poll() is None:
                running.send_signal(signal.SIGCONT)
                running.kill()
                running.wait()

    def _create_process(self, name, command):
        listeners = {
            'control': ('operators', 'metrics', 'inner'),
            'entry': ('callers', 'backends', 'metrics', 'inner'),
        }[command]
        port_numbers = ports.free_ports(len(listeners))
        addresses = {
            listener: {'host': ports.LOOPBACK, 'port': port}
            for listener, port in zip(listeners, port_numbers, strict=True)
        }
        path = self.folder / f'{name}.yaml'
        return Process(name, command, path, addresses)

    def _write_settings(self, process, with_relays):
        section = dict(process.addresses)
        if process.command == 'control':
            section['data_folder'] = f'data-{process.name}'
        content = {
            'vm': process.name,
            'zone': 'a',
            'controls': self._control_addresses(process, with_relays),
            'secrets': {
                kind: str(self.folder / f'{kind}.secret')
                for kind in SECRET_KINDS
            },
            process.command: section,
        }
        process.settings.write_text(json.dumps(content, indent=1))

    def _control_addresses(self, process, with_relays):
        inner = [control.addresses['inner'] for control in self.controls]
        if not with_relays or process.command == 'control':
            return inner
        control_relays = [relays.Relay(address) for address in inner]
        self.relays_by_name[process.name] = control_relays
        return [relay.address for relay in control_relays]
