"""Stand-ins of the platform's runners, with faults."""

import asyncio
import contextlib
import itertools
import json
import time

from bulrushrudder.tests.soak import faults
from bulrushrudder.tests.soak import http
from bulrushrudder.tests.soak import record
from bulrushrudder.tests.soak import works

PREFIX = '/bulrushrudder'
HEARTBEAT_S = 1.2
QUEUE = 3
PREFILL_S = 0.05
# How often a server at work looks whether its caller has left.
LOOK_S = 0.05
# A server that leaves goes on serving for the first time, and no request
# may reach it after the second one.
EXIT_AFTER_S = 3.0
DRAIN_S = 2.0


class Server:
    """One runner, which lives through several incarnations.

    :param fleet: the Fleet, whose control processes it registers with.
    :param rng: random.Random that decides which requests a fault meets.
    :param stage: prefill, decode, or None for a plain service.
    :param draw: function of rng that returns the Work for a call.
    :param gate: the Gate that entries connect to, or None.
    :ivar fault: the Fault of now, or None.
    :ivar fault_share: share of the requests that it meets.
    :ivar late_arrivals: seconds of the acknowledgement that the server has
        left, and of a request that came later than DRAIN_S after it.
    """

    def __init__(
        self,
        fleet,
        rng,
        name,
        service,
        stage=None,
        slots=6,
        draw=works.quick,
        gate=None,
    ):
        self.fault = None
        self.fault_share = 0.0
        self.id = ''
        self.late_arrivals = []
        self._fleet = fleet
        self._record = fleet.record
        self._rng = rng
        self._name = name
        self._service = service
        self._stage = stage
        self._slots = slots
        self._draw = draw
        self._incarnations = itertools.count(1)
        self._handles = itertools.count(1)
        self._gate = gate
        self._address = self._announced = ('127.0.0.1', 0)
        self._clear()

    def _clear(self):
        self._sequence = itertools.count(1)
        self._connections = itertools.count(1)
        self._busy = 0
        self._waiting = []
        self._writers = set()
        self._running = set()
        self._copies = {}
        self._tasks = set()
        self._listener = None
        self._beats = None
        self._gone_s = None

    # Life of the runner.

    async def start(self, keeps_id=False):
        """Start an incarnation.

        :param keeps_id: whether it has the id of the one before.
        """
        self._clear()
        number = next(self._incarnations)
        if not (keeps_id and self.id):
            self.id = f'{self._name}-{number}'
        self._born = int(time.time() * 1000)
        self._listener = await asyncio.start_server(
            self._serve, *self._address
        )
        self._address = self._listener.sockets[0].getsockname()[:2]
        self._announced = self._address
        if self._gate is not None:
            self._announced = await self._gate.open(self._address)
        self._record.add_trouble(self.id, f'starts at {self._address}')
        self._beats = asyncio.create_task(self._beat_forever())

    def crash(self):
        """End without a word, if it has started."""
        if self._beats is None:
            return
        self._record.add_trouble(self.id, 'crashes')
        self._record.broken_off |= self._running
        self._beats.cancel()
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    async def leave(self, drains, late_s):
        """Leave, go on serving for some time, and end.

        :param drains: whether it says so in a heartbeat; else it reports
            that it is gone.
        :param late_s: seconds after which a heartbeat that was held up
            arrives; None if there is none.
        """
        late = self._heartbeat('ready')
        self._beats.cancel()
        if drains:
            acknowledged = await self._announce(
                'PUT', self._heartbeat('draining')
            )
        else:
            body = json.dumps({'born': self._born}).encode()
            acknowledged = await self._announce('DELETE', body)
        if acknowledged:
            self._gone_s = self._record.now_s()
            self._record.write(f'{self.id}: acknowledged as gone')
        if late_s is not None:
            await asyncio.sleep(late_s)
            await self._announce('PUT', late)
        await asyncio.sleep(EXIT_AFTER_S - (late_s or 0.0))
        self.crash()

    async def _beat_forever(self):
        while True:
            await self._announce('PUT', self._heartbeat('ready'))
            await asyncio.sleep(HEARTBEAT_S)

    def _heartbeat(self, state):
        content = {
            'service': self._service,
            'address': '{}:{}'.format(*self._announced),
            'zone': 'a',
            'version': 'v1',
            'slots': self._slots,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': next(self._sequence),
            'born': self._born,
        }
        if self._stage:
            content['stage'] = self._stage
            content['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return json.dumps(content).encode()

    async def _announce(self, method, body):
        """Send an announcement, to the next node if one does not answer.

        :returns: whether it was acknowledged.
        """
        controls = list(self._fleet.listed)
        self._rng.shuffle(controls)
        for machine in controls:
            address = machine.address('control_plane')
            path = f'{PREFIX}/instances/{self.id}'
            answer = await http.call(address, method, path, body)
            if 200 <= answer.status < 300:
                return True
        return False

    # Requests.

    async def _serve(self, reader, writer):
        connection = next(self._connections)
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                start, headers = await http.read_head(reader)
                method, target, _ = start.split()
                body = b''.join(
                    [piece async for piece in http.read_body(reader, headers)]
                )
                request = http.Request(
                    method, target, headers, connection, reader
                )
                self._check_body(request, body)
                await self._handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _handle(self, request, writer):
        if request.target.startswith(PREFIX):
            self._write(request, writer, self._own_answer())
            return
        self._record.add_arrival(request.attempt, self.id)
        expected = request.headers.get('expect-instance')
        if expected not in (None, self.id):
            self._reject(request, writer, '421 Misdirected Request')
            return
        is_prefill = request.headers.get('stage') == 'prefill'
        if is_prefill != (self._stage == 'prefill'):
            self._reject(request, writer, '421 Misdirected Request')
            return
        now_s = self._record.now_s()
        if self._gone_s is not None and now_s > self._gone_s + DRAIN_S:
            self.late_arrivals.append((self._gone_s, now_s))
            self._record.write(f'{self.id}: {request.attempt} comes late')
        fault = self._fault_of_now()
        full = self._busy >= self._slots and len(self._waiting) >= QUEUE
        if full or isinstance(fault, faults.Sheds):
            self._reject(request, writer, '503 Service Unavailable')
            return
        await self._take_slot()
        try:
            if is_prefill:
                await self._prefill(request, writer)
            else:
                await self._run(request, writer, fault)
        finally:
            self._free_slot()

    def _own_answer(self):
        content = {'busy': False, 'sequence': 0, 'stage': self._stage}
        body = json.dumps(content).encode()
        pairs = [('Content-Length', len(body))]
        return http.head('HTTP/1.1 200 OK', pairs) + body

    def misbehave(self, fault, share=0.0):
        """Begin to misbehave, or cease to if the fault is None.

        :param share: share of the requests that the fault meets.
        """
        self._record.add_trouble(self.id, f'{fault}, share {share}')
        self.fault = fault
        self.fault_share = share

    def _fault_of_now(self):
        if self.fault is None or self._rng.random() >= self.fault_share:
            return None
        return self.fault

    async def _take_slot(self):
        if self._busy >= self._slots:
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        self._busy += 1

    def _free_slot(self):
        self._busy -= 1
        while self._waiting:
            turn = self._waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return

    def _reject(self, request, writer, status):
        pairs = [
            ('Attempt-Id', request.attempt),
            ('Not-Executed', '1'),
            ('Content-Length', 0),
        ]
        self._record.write(f'{self.id}: rejects {request.attempt}: {status}')
        self._write(request, writer, http.head(f'HTTP/1.1 {status}', pairs))

    def _write(self, request, writer, data):
        """Write an answer, behind a late copy if one is held back."""
        copy = self._copies.pop(request.connection, b'')
        writer.write(copy + data)
        if isinstance(self._fault_of_now(), faults.CopiesLate):
            self._copies[request.connection] = data

    async def _prefill(self, request, writer):
        await asyncio.sleep(PREFILL_S)
        content = {
            'kv_handle': f'{next(self._handles):012x}',
            'token_count': 1000,
            'version': 1,
        }
        self._write(
            request,
            writer,
            self._answer(request, json.dumps(content).encode()),
        )

    async def _run(self, request, writer, fault):
        work = self._draw(self._rng)
        if self._stage == 'decode':
            body = b''.join(works.events(request.attempt, work))
        else:
            body = f'done {request.attempt} '.encode() * 20
            body += record.filler(request.attempt, work.filler)
        self._record.add_run(
            request.attempt,
            record.Run(
                self.id,
                self._service,
                self._record.now_s(),
                self._signature(request),
                record.condensed(body),
            ),
        )
        self._running.add(request.attempt)
        try:
            await self._execute(request, writer, fault, work, body)
            await writer.drain()
        finally:
            self._running.discard(request.attempt)
            self._record.end_run(request.attempt, self.id)

    async def _execute(self, request, writer, fault, work, body):
        if isinstance(fault, faults.Stalls):
            await asyncio.sleep(fault.for_s)
        is_stream = self._stage == 'decode'
        await self._work(request, work.gap_s if is_stream else work.takes_s)
        if isinstance(fault, faults.BREAKING_OFF):
            self._record.broken_off.add(request.attempt)
        match fault:
            case faults.LosesAnswers():
                raise ConnectionResetError
            case faults.Garbles():
                writer.write(b'\x00\x01 no answer\r\n\r\n')
                raise ConnectionResetError
            case faults.CutsAnswers():
                writer.write(self._answer(request, body)[:-40])
                await writer.drain()
                raise ConnectionResetError
            case faults.Fails(status=status):
                failure = self._answer(request, b'', f'{status} Failure')
                self._write(request, writer, failure)
            case _ if is_stream:
                await self._stream(request, writer, work)
            case faults.AddsBytes():
                self._write(request, writer, self._answer(request, body))
                writer.write(b'more')
            case _:
                self._write(request, writer, self._answer(request, body))

    async def _work(self, request, for_s):
        """Work until the time has passed or the connection is closed."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        while (left_s := until_s - loop.time()) > 0:
            if request.reader.at_eof():
                raise ConnectionResetError
            await asyncio.sleep(min(left_s, LOOK_S))

    def _check_body(self, request, body):
        """Check that a body is the one that the client sent."""
        size = request.headers.get('body-size')
        if size is None or request.method != 'POST':
            return
        if body != record.filler(request.attempt, int(size)):
            self._record.add_break(
                'UNASKED', f'{request.attempt} reached {self.id} changed'
            )

    async def _stream(self, request, writer, work):
        pairs = [
            *self._pairs(request),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        self._write(request, writer, http.head('HTTP/1.1 200 OK', pairs))
        for event in works.events(request.attempt, work):
            writer.write(http.chunk(event))
            await writer.drain()
            await self._work(request, work.gap_s)
        writer.write(http.chunk(b''))

    def _answer(self, request, body, status='200 OK'):
        pairs = [*self._pairs(request), ('Content-Length', len(body))]
        return http.head(f'HTTP/1.1 {status}', pairs) + body

    def _pairs(self, request):
        return [
            ('Attempt-Id', request.attempt),
            ('Server-Signature', self._signature(request)),
        ]

    def _signature(self, request):
        return f'{self.id}.{request.attempt[:6]}'
