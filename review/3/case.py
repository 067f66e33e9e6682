"""A runner sends a body without end in small chunks and without an event.

Other clients use a sound plain service through the same machine.
"""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import clients  # noqa: E402
from lib import platform  # noqa: E402
from lib import servers  # noqa: E402

TIMEOUT_MS = 1200
LATE_MS = 500
DEADLINE_MS = 2500
CLIENTS = 16
PLAIN_WORK_S = 0.045
PREFILL_S = 0.09
STREAMS = 60
# One of 36 answers of one decode runner is spoilt: a share of 0.028.
SPOILT = 36
# The load goes on this long after the spoilt answer has begun.
OBSERVED_S = 12.0
# Bytes in a chunk, about as many as the text of two tokens.
CHUNK_BYTES = 8
CHUNKS_AT_ONCE = 4096


async def answer_plain(server, received, writer):
    """Run a request of the plain service."""
    server.begin(received)
    await asyncio.sleep(PLAIN_WORK_S)
    server.write_answer(received, writer, b'done ' * 160)


async def case(fleet, trouble):
    """Return whether requests had no answer long after their timeout."""
    record = fleet.record
    edge = fleet.edges[0]
    spoilt = asyncio.Event()

    async def answer_engine(server, received, writer):
        if received.headers.get('stage') == 'prefill':
            await asyncio.sleep(PREFILL_S)
            server.write_prefill_answer(received, writer, 3200)
            return
        server.begin(received)
        if trouble and sum(server.runs.values()) == SPOILT:
            spoilt.set()
            record.write(
                f'{server.id}: spoils the answer to {received.attempt}: '
                f'bytes without end in chunks of {CHUNK_BYTES} bytes'
            )
            server.write_stream_head(received, writer)
            while True:
                writer.write(servers.chunk(b'x' * CHUNK_BYTES)
                             * CHUNKS_AT_ONCE)
                await writer.drain()
        await server.write_stream(received, writer, 6, 0.02)

    async with contextlib.AsyncExitStack() as stack:
        fleet.start()
        await fleet.put_configuration(
            platform.configuration(
                platform.route(
                    'book', 'non_idempotent', 'plain', TIMEOUT_MS
                ),
                platform.stream_route('draft'),
            )
        )
        for zone in 'ab':
            await servers.Server(
                record, fleet.controls, 'plain', zone, answer_plain
            ).start(stack)
        for stage, zone in (
            ('prefill', 'a'), ('decode', 'a'), ('decode', 'b')
        ):
            await servers.Server(
                record, fleet.controls, 'engines', zone, answer_engine,
                stage, 64,
            ).start(stack)
        await fleet.wait_until_ready()
        await asyncio.sleep(1.0)
        done = asyncio.Event()
        took_ms = []

        async def load():
            client = clients.Client(record, edge.address('frontend'))
            while not done.is_set():
                sent_s = record.now_s()
                _, got = await client.send('/book/1', deadline_ms=DEADLINE_MS)
                # An answer is final once its head and body are there; a
                # closed connection also ends the wait.
                final = got.status or got.closed
                took_s = record.now_s() - sent_s
                took_ms.append((took_s * 1000, bool(final)))
                await asyncio.sleep(0.05)
            client.close()

        async def ask_ready():
            while not done.is_set():
                status, _ = await platform.call(
                    edge.address('ready'), 'GET',
                    f'{platform.PREFIX}/readyz', b'',
                )
                record.write(f'platform: {edge.name} is ready: {status}')
                await asyncio.sleep(1.0)

        async def draft():
            client = clients.Client(record, edge.address('frontend'))
            for number in range(STREAMS):
                await client.send(
                    f'/draft/{number}',
                    deadline_ms=14000,
                    keep=False,
                    Model='m',
                    Token_Usage='3200,84',
                    Prompt_Prefix=f'5c1e07a2:200,{number:08x}:3000',
                )
            done.set()

        async def observe():
            await spoilt.wait()
            await asyncio.sleep(OBSERVED_S)
            done.set()

        others = [asyncio.create_task(draft()), asyncio.create_task(observe())]
        await asyncio.gather(
            ask_ready(), *(load() for _ in range(CLIENTS))
        )
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
    served = sum(final for _, final in took_ms)
    longer = [t for t in took_ms if t[0] > TIMEOUT_MS]
    late = [t for t in longer if t[0] > TIMEOUT_MS + LATE_MS]
    record.write(f'{len(took_ms)} requests of the plain service, {served} '
                 'with a final answer')
    record.write(
        f'CONFIG: {len(longer)} lasted longer than {TIMEOUT_MS} ms, '
        f'{len(late)} of them had no final answer {LATE_MS} ms later; '
        f'longest {max(t[0] for t in took_ms):.0f} ms'
    )
    if not served:
        raise platform.CannotRun('no request was served')
    return len(late) >= 8 and len(late) > len(longer) / 4


if __name__ == '__main__':
    platform.run_case(__file__, case)
