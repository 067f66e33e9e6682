"""Changes of a large configuration, then all processes are killed.

The operator adds 350 routes and then sends further versions of the whole
configuration, at the pace of a ``config_storm``. All processes are killed at
one moment and are back after a second, with their disks. Later than
``recover_s`` after that, clients' requests have to be served again.
"""

import asyncio
import pathlib
import random
import signal
import string
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))

import harness  # noqa: E402

CHANGES = 140
GAP_S = 0.33
IDLE_ROUTES = 350
SERVICE = 'portal'
REQUESTS = 40


def _name(rng, size=7):
    return ''.join(rng.choices(string.ascii_lowercase + string.digits, k=size))


def _configuration(version, idle):
    routes = [
        harness.route('r-read', '/read/', 'idempotent', SERVICE),
        *idle,
    ]
    routes[-1] = {**routes[-1], 'timeout_ms': 2000 + version}
    return harness.configuration(
        version, routes, [harness.plain_service(SERVICE)]
    )


async def _ask(site, record, number):
    """Send requests to the entry machines in turn; return the served ones."""
    served = 0
    statuses = {}
    for n in range(number):
        entry = site.entries[n % len(site.entries)]
        attempt = harness.new_id()
        try:
            answer = await harness.call(
                entry.ip,
                harness.FRONTEND,
                'GET',
                '/read/x',
                harness.client_headers(attempt),
                timeout_s=3.0,
            )
            outcome = answer.status
        except (OSError, TimeoutError, EOFError) as error:
            outcome = type(error).__name__
        served += outcome == 200
        statuses[outcome] = statuses.get(outcome, 0) + 1
        await asyncio.sleep(0.1)
    record.write(f'clients: {number} requests, answers {statuses}')
    return served


async def case(record):
    """Run the case."""
    rng = random.Random(6)
    idle = [
        harness.route(
            f'r-{_name(rng)}', f'/{_name(rng)}/{_name(rng)}/', 'idempotent', SERVICE
        )
        for _ in range(IDLE_ROUTES)
    ]
    site = harness.Site(record)
    runner = harness.PlainRunner(
        site, 'i-1', SERVICE, f'{site.network}.201', 8300, 'zone-a'
    )
    try:
        site.start(bootstrap=True)
        await asyncio.sleep(2.0)
        if not await site.put_configuration(_configuration(1, idle[:8])):
            return harness.NOT_RUN
        await runner.start()
        if not await site.wait_ready():
            return harness.NOT_RUN
        record.write('operator: 350 routes more')
        next_s = time.monotonic()
        for version in range(2, CHANGES + 2):
            if not await site.put_configuration(_configuration(version, idle)):
                record.write(f'operator: version {version} not acknowledged')
                return harness.NOT_RUN
            next_s = max(next_s + GAP_S, time.monotonic())
            await asyncio.sleep(next_s - time.monotonic())
        record.write(f'operator: {CHANGES} versions sent and acknowledged')
        before = await _ask(site, record, REQUESTS)
        if before < REQUESTS / 4:
            return harness.NOT_RUN
        if harness.TROUBLE:
            for machine in site.machines:
                machine.signal(signal.SIGKILL)
            for machine in site.machines:
                machine.process.wait()
            await asyncio.sleep(1.0)
            for machine in site.machines:
                machine.start()
        await asyncio.sleep(harness.BOUNDS['recover_s'] + 1.0)
        served = await _ask(site, record, REQUESTS)
        for entry in site.entries:
            ready = await site.is_ready(entry)
            record.write(f'platform: {entry.name} ready: {ready}')
        for control in site.controls:
            large = control.log_text().count('"message too large"')
            record.write(f'{control.name} logged "message too large" {large}x')
        record.write(
            f'served later than recover_s after the return: {served} of '
            f'{REQUESTS}; a quarter is the least'
        )
        return harness.BROKEN if served < REQUESTS / 4 else harness.HELD
    finally:
        await runner.close()
        site.end()


if __name__ == '__main__':
    harness.main(case, FOLDER)
