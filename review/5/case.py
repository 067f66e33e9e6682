"""A runner is replaced while a prompt for it is read at a slow runner.

Decode runners are replaced one after the other: the new one registers,
and the old one reports that it is draining. At that time a long prompt,
whose place on the old runner has been granted, is read at the prefill
runner, which works four times as long as usual for that time.
"""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import clients  # noqa: E402
from lib import platform  # noqa: E402
from lib import servers  # noqa: E402

ROUNDS = 2
PROMPT_TOKENS = 20_000
PREFILL_TOKENS_PER_S = 33_333
SLOW_FACTOR = 4
EVENTS = 6
EVENT_S = 0.06
DRAIN_S = 2.0
# An old runner serves for drain_ms and a little longer.
EXIT_AFTER_S = 2.7


async def case(fleet, trouble):
    """Return whether a request reached a runner after drain_ms."""
    record = fleet.record
    edge = fleet.edges[0]
    prompt_s = PROMPT_TOKENS / PREFILL_TOKENS_PER_S
    reading = asyncio.Event()

    async def answer(server, received, writer):
        if received.headers.get('stage') == 'prefill':
            # The runner in zone a is the slow one.
            slow = trouble and server.zone == 'a'
            took_s = prompt_s * (SLOW_FACTOR if slow else 1)
            record.write(f'{server.id}: reads the prompt of '
                         f'{received.attempt} for {took_s:.1f} s')
            reading.set()
            await asyncio.sleep(took_s)
            server.write_prefill_answer(received, writer, PROMPT_TOKENS)
            return
        server.begin(received)
        await server.write_stream(received, writer, EVENTS, EVENT_S)

    async def engine(stack, stage, zone):
        return await servers.Server(
            record, fleet.controls, 'engines', zone, answer, stage, 64
        ).start(stack)

    async with contextlib.AsyncExitStack() as stack:
        fleet.start()
        await fleet.put_configuration(
            platform.configuration(platform.stream_route('draft'))
        )
        # One of seven runners is slow: a share of 0.14.
        for stage, zone in (
            ('prefill', 'a'),
            ('prefill', 'b'),
            ('decode', 'b'),
            ('decode', 'b'),
            ('decode', 'b'),
            ('decode', 'b'),
        ):
            await engine(stack, stage, zone)
        old = await engine(stack, 'decode', 'a')
        await fleet.wait_until_ready()
        await asyncio.sleep(1.0)
        late = []
        outcomes = []

        async def draft(number):
            client = clients.Client(record, edge.address('frontend'))
            _, got = await client.send(
                f'/draft/{number}',
                deadline_ms=14000,
                Model='m',
                Token_Usage=f'{PROMPT_TOKENS},84',
                Prompt_Prefix=f'5c1e07a2:200,{number:08x}:19800',
            )
            outcomes.append((got.status, got.whole))
            client.close()

        for number in range(ROUNDS):
            reading.clear()
            sending = asyncio.create_task(draft(number))
            async with asyncio.timeout(5.0):
                await reading.wait()
            new = await engine(stack, 'decode', 'a')
            old.state = 'draining'
            while not await old.beat():
                pass
            drained_s = record.now_s()
            record.write(f'{old.id}: draining was acknowledged')
            await asyncio.sleep(EXIT_AFTER_S)
            await old.leave()
            old.crash()
            record.write(f'{old.id}: exits')
            late += [
                (old.id, attempt, at_s - drained_s)
                for attempt, at_s in old.arrivals
                if at_s > drained_s + DRAIN_S
            ]
            await sending
            old = new
            await asyncio.sleep(1.0)
    for server_id, attempt, after_s in late:
        record.write(
            f'DRAIN: {attempt} reached {server_id} {after_s:.3f} s after '
            'its draining was acknowledged'
        )
    broken_off = sum(not whole for _, whole in outcomes)
    record.write(f'{len(outcomes)} streams, {broken_off} not whole')
    return bool(late)


if __name__ == '__main__':
    platform.run_case(__file__, case)
