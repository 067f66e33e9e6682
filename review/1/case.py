"""A second copy of a rejection arrives late, on a connection in use again.

One of four runners of a plain service rejects a part of its requests
without running them (srv_grey, shed) and sends second copies of a few of
its answers (garble, extra late): each at the point where the answer to
the next request on that connection is expected.
"""

import asyncio
import contextlib
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import clients  # noqa: E402
from lib import platform  # noqa: E402
from lib import servers  # noqa: E402

CLIENTS = 8
# Seconds of load before, during and after each time of trouble.
WINDOWS = 5
CALM_S, TROUBLE_S = 2.0, 5.0
# Below the doses on the site, 0.45 and 0.03.
REJECT_EVERY = 5
COPIED_SHARE = 0.03
WORK_S = 0.045


class Trouble:
    """What goes wrong at the faulty runner.

    :ivar on: whether anything does now.
    """

    def __init__(self, server):
        self._server = server
        self._arrivals = 0
        self._held_by_connection = {}
        self._random = random.Random(1)
        self.on = False

    async def before_answer(self, received, writer):
        """Send the copy that is held back for a connection, if any."""
        copy = self._held_by_connection.pop(received.connection, None)
        if copy is not None:
            self._server.record.write(
                f'{self._server.id}: second copy of the answer to {copy[0]} '
                f'sent when {received.attempt} has arrived '
                f'(connection {received.connection})'
            )
            writer.write(copy[1])

    async def answer(self, server, received, writer):
        """Reject or run a request, and hold back some second copies."""
        self._arrivals += 1
        if self.on and self._arrivals % REJECT_EVERY == 0:
            status = '503 Service Unavailable'
            server.reject(received, writer, status)
            sent = server.rejection(received, status)
        else:
            await run(server, received, writer)
            sent = server.answer_bytes(received, BODY)
        if self.on and self._random.random() < COPIED_SHARE:
            held = received.attempt, sent
            self._held_by_connection[received.connection] = held


BODY = b'done ' * 160


async def run(server, received, writer):
    """Run a request of a plain service."""
    server.begin(received)
    await asyncio.sleep(WORK_S)
    server.write_answer(received, writer, BODY)


async def case(fleet, trouble):
    """Return whether a request that isn't idempotent ran twice."""
    record = fleet.record
    async with contextlib.AsyncExitStack() as stack:
        fleet.start()
        await fleet.put_configuration(
            platform.configuration(
                platform.route('book', 'non_idempotent', 'plain', 1200),
                platform.stream_route('draft'),
            )
        )
        runners = [
            servers.Server(record, fleet.controls, 'plain', zone, run)
            for zone in 'abcd'
        ]
        trouble_there = Trouble(runners[0])
        runners[0].before_answer = trouble_there.before_answer
        runners[0].set_answer(trouble_there.answer)
        for runner in runners:
            await runner.start(stack)
        await fleet.wait_until_ready()
        await asyncio.sleep(1.0)
        outcomes = {}
        done = asyncio.Event()

        async def load():
            client = clients.Client(
                record, fleet.edges[0].address('frontend')
            )
            while not done.is_set():
                attempt, got = await client.send('/book/1')
                outcomes[attempt] = got.status
                await asyncio.sleep(0.01)
            client.close()

        async def disrupt():
            for _ in range(WINDOWS):
                await asyncio.sleep(CALM_S)
                trouble_there.on = trouble
                await asyncio.sleep(TROUBLE_S)
                trouble_there.on = False
            await asyncio.sleep(CALM_S)
            done.set()

        await asyncio.gather(disrupt(), *(load() for _ in range(CLIENTS)))
        await asyncio.sleep(1.0)
    runs = {
        attempt: sum(runner.runs[attempt] for runner in runners)
        for attempt in outcomes
    }
    twice = [attempt for attempt, count in runs.items() if count > 1]
    refused = [a for a in outcomes if outcomes[a] in (429, 503) and runs[a]]
    served = sum(status == 200 for status in outcomes.values())
    record.write(f'{len(outcomes)} requests, {served} answered with 200')
    record.write(f'TWICE: ran more than once: {len(twice)} {twice[:5]}')
    record.write(f'REFUSED: answered 429 or 503, but ran: {len(refused)}')
    if not served:
        raise platform.CannotRun('no request was served')
    return bool(twice)


if __name__ == '__main__':
    platform.run_case(__file__, case)
