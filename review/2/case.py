"""A runner sends bytes without end in the body of a stream.

The platform ends a program that uses more memory than its machine has.
Meanwhile other clients have requests in flight at a sound service.
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

MEMORY_MB = 300
MEMORY_CHECK_S = 0.02
CLIENTS = 10
PLAIN_WORK_S = 0.22
PREFILL_S = 0.09
STREAMS = 60
# One of 36 answers of one decode runner is spoilt: a share of 0.028.
SPOILT = 36
PIECE_BYTES = 32 * 1024


async def answer_plain(server, received, writer):
    """Run a request of the plain service."""
    server.begin(received)
    await asyncio.sleep(PLAIN_WORK_S)
    server.write_answer(received, writer, b'done ' * 160)


async def case(fleet, trouble):
    """Return whether more than three requests were cut off."""
    record = fleet.record
    edge = fleet.edges[0]

    async def answer_engine(server, received, writer):
        if received.headers.get('stage') == 'prefill':
            await asyncio.sleep(PREFILL_S)
            server.write_prefill_answer(received, writer, 3200)
            return
        server.begin(received)
        if trouble and sum(server.runs.values()) == SPOILT:
            record.write(f'{server.id}: spoils the answer to '
                         f'{received.attempt}: bytes without end')
            server.write_stream_head(received, writer)
            noise = random.Random(1).randbytes(PIECE_BYTES // 2).hex()
            while True:
                writer.write(servers.chunk(f'{noise}\n\n'.encode()))
                await writer.drain()
        await server.write_stream(received, writer, 6, 0.02)

    async with contextlib.AsyncExitStack() as stack:
        fleet.start()
        await fleet.put_configuration(
            platform.configuration(
                platform.route('book', 'non_idempotent', 'plain', 1200),
                platform.stream_route('draft'),
            )
        )
        plain = [
            await servers.Server(
                record, fleet.controls, 'plain', zone, answer_plain
            ).start(stack)
            for zone in 'ab'
        ]
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
        cut = []
        most_mb = 0.0
        served = 0

        async def load():
            nonlocal served
            client = clients.Client(record, edge.address('frontend'))
            kept = False
            while not done.is_set():
                attempt, got = await client.send('/book/1')
                served += got.status == 200
                arrived = any(
                    attempt == known
                    for server in plain
                    for known, _ in server.arrivals
                )
                if kept and arrived and got.closed and not got.status:
                    cut.append(attempt)
                if got.closed:
                    return
                kept = got.whole
            client.close()

        async def watch_memory():
            nonlocal most_mb
            while not done.is_set():
                used_mb = edge.memory_mb()
                most_mb = max(most_mb, used_mb)
                if used_mb > MEMORY_MB:
                    record.write(
                        f'{edge.name} uses {used_mb:.0f} MB, more than '
                        f'{MEMORY_MB} MB: the platform kills its process'
                    )
                    edge.kill()
                    await asyncio.sleep(1.0)
                    done.set()
                await asyncio.sleep(MEMORY_CHECK_S)

        async def draft():
            client = clients.Client(record, edge.address('frontend'))
            for number in range(STREAMS):
                if done.is_set():
                    return
                await client.send(
                    f'/draft/{number}',
                    deadline_ms=14000,
                    keep=False,
                    Model='m',
                    Token_Usage='3200,84',
                    Prompt_Prefix=f'5c1e07a2:200,{number:08x}:3000',
                )
            done.set()

        await asyncio.gather(
            watch_memory(), draft(), *(load() for _ in range(CLIENTS))
        )
    record.write(f'most memory of {edge.name}: {most_mb:.0f} MB')
    record.write(f'{served} requests of the plain service were served')
    record.write(
        f'LOST: passed to a sound runner, connection closed without an '
        f'answer: {len(cut)} {cut[:5]}'
    )
    if not served:
        raise platform.CannotRun('no request was served')
    return len(cut) > 3


if __name__ == '__main__':
    platform.run_case(__file__, case)
