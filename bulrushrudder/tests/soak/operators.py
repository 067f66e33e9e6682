"""The operator: changes of the configuration, and what must hold of them."""

import asyncio
import dataclasses
import json

from bulrushrudder.tests.soak import clients
from bulrushrudder.tests.soak import http
from bulrushrudder.tests.soak import record

PATH = '/bulrushrudder/config'
ACK_TIMEOUT_S = 30.0
READ_TIMEOUT_S = 15.0
# Timeout and target of routes to plain services.
PLAIN_MS = (1500, 150)
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


@dataclasses.dataclass
class Version:
    """A version that was sent.

    :ivar services_by_path: service by path prefix.
    :ivar acked_s: when it was acknowledged; None if it was not.
    """

    number: int
    content: bytes
    services_by_path: dict
    sent_s: float
    acked_s: float | None = None


class Operator:
    """Sends configurations and reads them back.

    :param fleet: the Fleet.
    :param rng: random.Random.
    :param plain_ms: timeout and target of routes to plain services.
    :ivar versions: the Versions in the order in which they were sent.
    """

    def __init__(self, fleet, rng, plain_ms=PLAIN_MS):
        self.versions = []
        self._fleet = fleet
        self._record = fleet.record
        self._rng = rng
        self._plain_ms = plain_ms
        self._number = 0
        self._added = 0
        # Nothing says that the names of routes differ.
        self._names_differ = rng.random() < 0.5
        self._services_by_path = {
            '/book/': 'plain',
            '/look/': 'plain',
            '/draft/': 'engines',
        }

    def paths(self):
        """Return the paths that clients may ask for."""
        known = self.versions[-1].services_by_path
        return [f'{prefix}1' for prefix in known]

    def add_idle_routes(self, count):
        """Add routes that nobody asks for to the next versions."""
        for number in range(count):
            self._services_by_path[f'/idle{number}/'] = 'plain'

    async def send_first(self):
        """Send the first configuration until it is acknowledged."""
        version = self._next_version()
        if not await self._send(version):
            self._record.add_break(
                'FAULT',
                f'the system did not start: no configuration was '
                f'acknowledged in {ACK_TIMEOUT_S} s',
            )
        return version.acked_s is not None

    async def change(self):
        """Change one thing, and wait until it is acknowledged."""
        match self._rng.randrange(5):
            case 0 | 1:
                self._added += 1
                self._services_by_path[f'/book{self._added}/'] = 'plain'
            case 2:
                moved = self._rng.choice(('plain', 'other'))
                self._services_by_path['/book/'] = moved
            case 3 if self._added:
                removed = f'/book{self._rng.randint(1, self._added)}/'
                self._services_by_path.pop(removed, None)
            case _:
                await self._send_invalid()
        version = self._next_version()
        if not await self._send(version):
            self._record.write(f'version {version.number}: not acknowledged')
        elif self._rng.random() < 0.5:
            await self._send_again(version)

    async def read(self, machine=None):
        """Read the configuration, and check its age.

        :param machine: any node of the operator's list if it is None.
        :returns: the number of the version; 0 without an answer.
        """
        machine = machine or self._rng.choice(self._fleet.listed)
        sent_s = self._record.now_s()
        answer = await self._call(machine, 'GET', b'')
        if answer.status != 200:
            return 0
        self._check_read(answer.body, sent_s, machine.name)
        return json.loads(answer.body)['version']

    async def read_back(self, until_s):
        """Read until the newest acknowledged version or a later one comes.

        :param until_s: when to give up.
        :returns: when it came; None if it did not.
        """
        newest = max(
            version.number
            for version in self.versions
            if version.acked_s is not None
        )
        while self._record.now_s() < until_s:
            if await self.read() >= newest:
                return self._record.now_s()
            await asyncio.sleep(0.1)
        return None

    async def read_at_end(self):
        """Read the configuration back until it comes."""
        deadline_s = self._record.now_s() + READ_TIMEOUT_S
        while not await self.read():
            if self._record.now_s() > deadline_s:
                self._record.add_break(
                    'CONFIG', f'no read in {READ_TIMEOUT_S} s at the end'
                )
                return
            await asyncio.sleep(0.2)

    def _check_read(self, body, sent_s, name):
        number = json.loads(body)['version']
        acked = [
            version.number
            for version in self.versions
            if version.acked_s is not None
            and version.acked_s + record.CONFIG_APPLY_S < sent_s
        ]
        if acked and number < max(acked):
            self._record.add_break(
                'CONFIG', f'{name} returned {number}, acked {max(acked)}'
            )
        known = {version.number: version.content for version in self.versions}
        if known.get(number) != body:
            self._record.add_break(
                'CONFIG', f'{name} returned other content under {number}'
            )

    async def _send(self, version):
        """Send a version to any node until it is acknowledged."""
        deadline_s = self._record.now_s() + ACK_TIMEOUT_S
        while self._record.now_s() < deadline_s:
            machine = self._rng.choice(self._fleet.listed)
            answer = await self._call(machine, 'PUT', version.content)
            if answer.status == 200:
                version.acked_s = self._record.now_s()
                self._record.write(f'version {version.number}: acknowledged')
                return True
            if 400 <= answer.status < 500 and answer.status not in (408, 429):
                self._record.add_break(
                    'CONFIG',
                    f'{machine.name} refused {version.number}: '
                    f'{answer.status} {answer.body[:200]}',
                )
                return False
            await asyncio.sleep(0.1)
        return False

    async def _send_again(self, version):
        """Send a version once more after its acknowledgement."""
        machine = self._rng.choice(self._fleet.listed)
        answer = await self._call(machine, 'PUT', version.content)
        if 400 <= answer.status < 500:
            self._record.add_break(
                'CONFIG', f'{version.number} was refused when sent again'
            )

    async def _send_invalid(self):
        broken = json.loads(self.versions[-1].content)
        broken['version'] = self._number + 1
        route = broken['routes'][0]
        match self._rng.randrange(4):
            case 0:
                route['timeout_ms'] = 0
            case 1:
                route['service'] = 'nowhere'
            case 2:
                broken['routes'].append({**route, 'name': 'r-again'})
            case 3:
                broken['tenants'].append(
                    {**broken['tenants'][0], 'name': 'second'}
                )
        machine = self._rng.choice(self._fleet.listed)
        body = json.dumps(broken).encode()
        answer = await self._call(machine, 'PUT', body)
        if answer.status == 200:
            self._record.add_break(
                'CONFIG', f'{machine.name} took an invalid configuration'
            )

    async def _call(self, machine, method, body):
        address = machine.address('control_plane')
        return await http.call(address, method, PATH, body, timeout_s=2.0)

    def _name(self, prefix):
        return f'r{prefix}' if self._names_differ else f'r{len(prefix)}'

    def _next_version(self):
        self._number += self._rng.randint(1, 3)
        content = {
            'version': self._number,
            'routes': [
                _route(self._name(prefix), prefix, service, self._plain_ms)
                for prefix, service in self._services_by_path.items()
            ],
            'services': [
                _service('engines', engine=ENGINE),
                _service('plain'),
                _service('other'),
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
                    'api_keys': [clients.KEY],
                    'priority': 1,
                    'unit': 'tokens',
                    'uncached_tokens': 200,
                    'rate_per_s': 3600000,
                    'burst': 3600000,
                }
            ],
        }
        version = Version(
            self._number,
            json.dumps(content).encode(),
            dict(self._services_by_path),
            self._record.now_s(),
        )
        self.versions.append(version)
        return version


def timeout_s(plain_ms):
    """Return a function of a path that returns its timeout in seconds."""

    def of_path(path):
        route = _route('', path, _service_of(path), plain_ms)
        return route['timeout_ms'] / 1000

    return of_path


def judge(versions, sent, runs, is_calm):
    """Yield Breaks of requests that were handled by an old version.

    :param versions: the Versions.
    :param sent: the Sent attempts of clients.
    :param runs: function of an attempt id that returns its Runs.
    :param is_calm: function of the seconds at which a request was sent and
        ended; whether all machines were in touch.
    """
    for request in sent:
        if not is_calm(request.sent_s, request.ended_s):
            continue
        allowed = _versions_in_force(versions, request.sent_s)
        prefix = request.path[: request.path.rindex('/') + 1]
        services = {v.services_by_path.get(prefix) for v in allowed}
        if request.status == 404 and None not in services:
            yield record.Break(
                'CONFIG', f'{request.attempt} to {request.path} got 404'
            )
        for run in runs(request.attempt):
            if run.service not in services:
                yield record.Break(
                    'CONFIG',
                    f'{request.attempt} to {request.path} ran at '
                    f'{run.service}, allowed {services}',
                )


def _versions_in_force(versions, sent_s):
    """Return the Versions that may handle a request."""
    newest = None
    for index, version in enumerate(versions):
        acked_s = version.acked_s
        if acked_s is not None and acked_s + record.CONFIG_APPLY_S < sent_s:
            newest = index
    return versions[newest or 0 :]


def _service(name, **changes):
    return {
        'name': name,
        'health_path': '/healthz',
        'max_connections': 100,
        'protocol': 'h1',
        'tls': False,
        **changes,
    }


def _service_of(path):
    return 'engines' if path.startswith('/draft') else 'plain'


def _route(name, prefix, service, plain_ms):
    timeout_ms, target_ms = plain_ms
    stream = service == 'engines'
    return {
        'name': name,
        'host': clients.HOST,
        'path_prefix': prefix,
        'route_type': 'streaming'
        if stream
        else 'idempotent'
        if prefix == '/look/'
        else 'non_idempotent',
        'timeout_ms': 14000 if stream else timeout_ms,
        'target_latency_ms': 900 if stream else target_ms,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'public': False,
        'sticky': stream,
        'resumable': False,
        'target_itl_ms': 300 if stream else 0,
    }
