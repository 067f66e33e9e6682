"""A runner leaves as its cut from control heals; a heartbeat comes late.

The link between one of three runners and the core is cut for 5 s. As it
heals, the runner sends DELETE and goes on serving for drain_ms and a
little longer. Heartbeats that the cut held up arrive after that.
"""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import clients  # noqa: E402
from lib import links  # noqa: E402
from lib import platform  # noqa: E402
from lib import servers  # noqa: E402

CUT_S = 5.0
DRAIN_S = 2.0
# The runner serves for drain_ms and a little longer.
EXIT_AFTER_S = 3.0
CLIENTS = 12
WORK_S = 0.045


async def answer(server, received, writer):
    """Run a request of the plain service."""
    server.begin(received)
    await asyncio.sleep(WORK_S)
    server.write_answer(received, writer, b'done ' * 160)


async def case(fleet, trouble):
    """Return whether requests reached the runner after drain_ms."""
    record = fleet.record
    async with contextlib.AsyncExitStack() as stack:
        fleet.start()
        await fleet.put_configuration(
            platform.configuration(
                platform.route('book', 'non_idempotent', 'plain', 1200)
            )
        )
        runners = [
            servers.Server(record, fleet.controls, 'plain', zone, answer)
            for zone in 'abb'
        ]
        leaving = runners[0]
        links_by_address = {}
        for machine in fleet.controls:
            address = machine.address('control_plane')
            link = await links.Link(address).start(stack)
            links_by_address[address] = link
        leaving.reach = lambda address: links_by_address[address].address
        for runner in runners:
            await runner.start(stack)
        await fleet.wait_until_ready()
        await asyncio.sleep(1.0)
        done = asyncio.Event()
        served = 0

        async def load():
            nonlocal served
            client = clients.Client(record, fleet.edges[0].address('frontend'))
            while not done.is_set():
                _, got = await client.send('/book/1')
                served += got.status == 200
                await asyncio.sleep(0.02)
            client.close()

        loads = [asyncio.create_task(load()) for _ in range(CLIENTS)]
        await asyncio.sleep(2.0)
        if trouble:
            record.write(f'{leaving.id}: cut from the core')
            for link in links_by_address.values():
                link.cut()
        await asyncio.sleep(CUT_S)
        for link in links_by_address.values():
            link.heal()
        leaving.stop_beats()
        gone_s = await leaving.leave()
        await asyncio.sleep(EXIT_AFTER_S)
        leaving.crash()
        record.write(f'{leaving.id}: exits')
        await asyncio.sleep(2.0)
        done.set()
        await asyncio.gather(*loads)
    late = [at_s for _, at_s in leaving.arrivals if at_s > gone_s + DRAIN_S]
    record.write(f'{served} requests were served')
    record.write(
        f'DRAIN: {len(late)} requests reached {leaving.id} later than '
        f'{DRAIN_S} s after it was acknowledged as gone'
    )
    if not served:
        raise platform.CannotRun('no request was served')
    return bool(late)


if __name__ == '__main__':
    platform.run_case(__file__, case)
