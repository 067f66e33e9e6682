"""Clients with kept connections."""

import asyncio

from bulrushrudder.tests.soak import http
from bulrushrudder.tests.soak import record

HOST = 'ficu95.example'
KEY = 'i9n73hh2b9wu3fexd9dn'
PAUSE_S = 0.02


class Client:
    """A client that sends requests until it is cancelled.

    :param fleet: the Fleet.
    :param rng: random.Random of this client.
    :param paths: function that returns the paths to choose from.
    """

    def __init__(self, fleet, rng, paths):
        self._fleet = fleet
        self._record = fleet.record
        self._rng = rng
        self._paths = paths
        self._process = ''
        self._writer = None
        self._reader = None

    async def run(self):
        """Send requests until cancelled."""
        try:
            while True:
                retry_after_s = await self._send(
                    self._rng.choice(self._paths())
                )
                pause_s = self._rng.uniform(0.0, 2 * PAUSE_S)
                await asyncio.sleep(max(pause_s, retry_after_s))
        finally:
            self._close()

    async def _send(self, path):
        attempt = f'{self._rng.getrandbits(64):016x}'
        stream = path.startswith('/draft')
        deadline_s = 5.0 if stream else 1.5
        if self._rng.random() < 0.05:
            deadline_s = self._rng.uniform(0.02, 0.3)
        answer = http.Answer()
        sent_s = self._record.now_s()
        kept = self._writer is not None
        closed = False
        try:
            async with asyncio.timeout(deadline_s):
                if self._writer is None:
                    await self._open()
                self._writer.write(self._encode(path, attempt, deadline_s))
                await http.read_answer(self._reader, answer)
        except TimeoutError:
            # The client leaves before it has its answer.
            pass
        except (OSError, ValueError, asyncio.IncompleteReadError):
            closed = kept
        if not answer.whole or answer.headers.get('connection') == 'close':
            self._close()
        self._record.add_sent(
            record.Sent(
                attempt,
                path,
                path.startswith('/look'),
                sent_s,
                self._record.now_s(),
                answer.status,
                answer.body,
                answer.whole,
                answer.headers.get('server-signature', ''),
                closed,
                self._process,
            )
        )
        if self._rng.random() < 0.02:
            self._close()
        return min(0.5, float(answer.headers.get('retry-after', 0.0)))

    def _encode(self, path, attempt, deadline_s):
        pairs = [
            ('Host', HOST),
            ('Attempt-Id', attempt),
            ('Deadline-Ms', int(deadline_s * 1000)),
            ('Authorization', f'Bearer {KEY}'),
            ('Content-Length', 3),
        ]
        if path.startswith('/draft'):
            pairs += prompt(attempt)
        return http.head(f'POST {path} HTTP/1.1', pairs) + b'abc'

    async def _open(self):
        edges = [
            machine for machine in self._fleet.edges if not machine.stopped
        ]
        machine = self._rng.choice(edges or self._fleet.edges)
        self._process = machine.process
        async with asyncio.timeout(http.CONNECT_TIMEOUT_S):
            self._reader, self._writer = await asyncio.open_connection(
                *machine.address('frontend')
            )

    def _close(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = self._reader = None


def prompt(attempt):
    """Return the headers that describe the prompt of an attempt."""
    return [
        ('Model', 'm'),
        ('Token-Usage', '1000,84'),
        ('Prompt-Prefix', f'aa:200,{attempt}:800'),
    ]
