"""Injects faults into a fleet under load and checks its guarantees.

Each scenario runs control and entry processes with stand-ins on the
loopback interface.

Usage: python scripts/fault_run.py [--seed N] [SCENARIO ...]
"""

import argparse
import asyncio
import collections
import contextlib
import hashlib
import pathlib
import sys
import tempfile

import aiohttp
import backends
import callers
import processes

from bulrushrudder.core import keys

START_TIMEOUT_S = 30.0
EFFECT_TIMEOUT_S = 8.0
SETTLE_S = 3.0
CONTROLS = 3
ENTRIES = 3
DRAFT_CALLERS = 8
FILING_CALLERS = 4

DOCUMENT = """\
version: {version}
accounts:
  - id: consultants
    rate: 100000
    burst: 1000000
    keys: [{digests}]
  - id: spender
    rate: {rate}
    burst: {burst}
    keys: ["{spender}"]
models:
  - id: drafting
    max_output_tokens: 64
routes:
  - id: drafts
    path: /v1/completions
    model: drafting
  - id: filings
    path: /filings
    service: portal
    repeatable: false
# {remark}
"""
SPENDER_RATE = 400
SPENDER_BURST = 800
SPENDER_CALLERS = 24
SPENDING_DURATION_S = 12.0


class Trial:
    """A fleet under load, with the problems found so far.

    :param fleet: the Fleet of processes.
    :param session: an aiohttp session for operators and callers.
    :param standins: the StandinServers.
    :param seed: seed of the callers.
    """

    def __init__(self, fleet, session, standins, seed):
        self.fleet = fleet
        self.session = session
        self.backends = standins
        self.key = keys.new_key()
        self.other_key = keys.new_key()
        self.spender_key = keys.new_key()
        self.version = 0
        urls = [entry.url('callers') for entry in fleet.entries]
        self.callers = callers.Callers(session, urls, self.key, seed)
        self.problems = []
        self.notes = []
        self._tasks = []

    def check(self, condition, guarantee):
        """Record a guarantee as a problem if its condition is false."""
        if not condition:
            self.problems.append(guarantee)

    def source(self, version, remark='', withdrawn=False):
        """Return the bytes of a document.

        :param remark: text that tells documents of one version apart.
        :param withdrawn: whether the callers' key is left out.
        """
        key_digests = [keys.digest(self.other_key)]
        if not withdrawn:
            key_digests.append(keys.digest(self.key))
        digests = ', '.join(f'"{digest}"' for digest in key_digests)
        return DOCUMENT.format(
            version=version,
            digests=digests,
            remark=remark,
            rate=SPENDER_RATE,
            burst=SPENDER_BURST,
            spender=keys.digest(self.spender_key),
        ).encode()

    async def submit(self, source, control, operator='script'):
        """Submit a document to the trial environment, without retries.

        :returns: status and content of the response; (0, None) if there
            was no response.
        """
        return await self._post(control, 'trial', source, operator)

    async def put_in_force(self, source):
        """Submit and promote a document, with retries until accepted."""
        digest = 'sha256:' + hashlib.sha256(source).hexdigest()
        self.version += 1
        promotion = f'{{"version": {self.version}, "digest": "{digest}"}}'
        for step, data in (
            ('trial', source),
            ('production', promotion.encode()),
        ):
            await self._post_until_accepted(step, data)

    async def start_load(self):
        """Start the callers."""
        for number in range(DRAFT_CALLERS):
            task = self.callers.send_drafts(number)
            self._tasks.append(asyncio.create_task(task))
        for number in range(FILING_CALLERS):
            task = self.callers.send_filings(number)
            self._tasks.append(asyncio.create_task(task))

    async def stop_load(self):
        """Stop the callers and check their results and the stand-ins."""
        self.callers.stopping.set()
        await asyncio.gather(*self._tasks)
        await asyncio.sleep(SETTLE_S)
        self.problems += self.callers.record.problems
        self._check_filings()
        self._check_engines()

    async def wait_until_refused(self, key):
        """Wait until every live entry refuses a key.

        :returns: the time taken in seconds; infinite after a timeout.
        """
        return await self._wait_until(
            lambda: self._all_entries_respond(key, 401), EFFECT_TIMEOUT_S
        )

    async def wait_until_ready(self, name):
        """Wait until an entry is ready.

        :returns: the time taken in seconds; infinite after a timeout.
        """
        url = self.fleet.by_name[name].url('callers')
        return await self._wait_until(
            lambda: self._is_ready(url), START_TIMEOUT_S
        )

    async def _wait_until(self, condition, limit_s):
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        while loop.time() - begin_s < limit_s:
            if await condition():
                return loop.time() - begin_s
            await asyncio.sleep(0.05)
        return float('inf')

    async def _is_ready(self, url):
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                async with self.session.get(f'{url}/-/ready') as response:
                    return response.status == 200
        return False

    async def request_status(self, url, key):
        """Send a request to an entry and return the status of its answer."""
        async with self.session.post(
            f'{url}/v1/completions',
            json={'prompt': 'x', 'max_tokens': 1},
            headers={'Authorization': f'Bearer {key}'},
        ) as response:
            return response.status

    async def _all_entries_respond(self, key, status):
        for entry in self.fleet.entries:
            if entry.running is None or entry.running.poll() is not None:
                continue
            if await self.request_status(entry.url('callers'), key) != status:
                return False
        return True

    async def _post_until_accepted(self, step, data):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + START_TIMEOUT_S
        number = 0
        while loop.time() < end_s:
            control = self.fleet.controls[number % len(self.fleet.controls)]
            number += 1
            status, content = await self._post(control, step, data, 'script')
            if status == 200:
                return
            if status == 409:
                self.problems.append(f'{step} refused: {content}')
                return
            await asyncio.sleep(0.2)
        self.problems.append(
            f'{step}: not answered with status 200 within {START_TIMEOUT_S} s'
        )

    async def _post(self, control, step, data, operator):
        url = f'{control.url("operators")}/documents/{step}'
        headers = {
            'Authorization': f'Bearer {self.fleet.secrets["operators"]}',
            'X-Operator': operator,
        }
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(5.0):
                async with self.session.post(
                    url, data=data, headers=headers
                ) as response:
                    return response.status, await response.json()
        return 0, None

    def _check_filings(self):
        standin = self.backends.by_id['portal-1'].standin
        runs = collections.Counter(
            call.body.decode() for call in standin.calls
        )
        twice = [filing for filing, count in runs.items() if count > 1]
        self.check(not twice, f'filings ran more than once: {twice}')
        for filing, result in self.callers.record.result_by_filing.items():
            if result == 'answered':
                self.check(
                    runs[filing] == 1,
                    f'{filing} was answered but did not run exactly once',
                )

    def _check_engines(self):
        for server_id, backend in self.backends.by_id.items():
            held = getattr(backend.standin, 'held_by_attempt', {})
            self.check(
                not held, f'{server_id} still holds attempts {list(held)}'
            )


async def calm(trial):
    """No faults are injected."""
    await asyncio.sleep(3)


async def entry_killed(trial):
    """An entry process is killed under load and restarted."""
    await asyncio.sleep(1)
    trial.fleet.kill('vm2')
    await asyncio.sleep(4)
    trial.fleet.start('vm2')
    trial.notes.append(
        f'ready after {await trial.wait_until_ready("vm2"):.1f} s'
    )


async def control_killed(trial):
    """Each control process in turn is killed and restarted."""
    for control in trial.fleet.controls:
        trial.fleet.kill(control.name)
        await asyncio.sleep(3)
        trial.fleet.start(control.name)
        await asyncio.sleep(3)


async def control_frozen(trial):
    """Each control process in turn is frozen; changes continue."""
    for control in trial.fleet.controls:
        trial.fleet.freeze(control.name)
        source = trial.source(trial.version + 1)
        await trial.put_in_force(source)
        await asyncio.sleep(3)
        trial.fleet.thaw(control.name)
        await asyncio.sleep(1)


async def disk_lost(trial):
    """A control process loses its data and rejoins; another is killed."""
    trial.fleet.kill('control1')
    trial.fleet.delete_data('control1')
    trial.fleet.start('control1')
    await asyncio.sleep(8)
    trial.fleet.kill('control2')
    await trial.put_in_force(trial.source(trial.version + 1))
    trial.fleet.start('control2')
    await asyncio.sleep(2)


async def key_withdrawn(trial):
    """A key is withdrawn while callers use it."""
    await asyncio.sleep(1)
    source = trial.source(trial.version + 1, withdrawn=True)
    await trial.put_in_force(source)
    elapsed_s = await trial.wait_until_refused(trial.key)
    trial.notes.append(f'refused everywhere after {elapsed_s:.2f} s')
    trial.check(
        elapsed_s < EFFECT_TIMEOUT_S,
        f'a withdrawn key is accepted after {EFFECT_TIMEOUT_S} s',
    )


async def operators_race(trial):
    """Operators submit different documents under one version."""
    for _ in range(5):
        version = trial.version + 1
        sources = [
            trial.source(version, remark=f'operator {number}')
            for number in range(len(trial.fleet.controls))
        ]
        answers = await asyncio.gather(
            *[
                trial.submit(source, control, f'operator {number}')
                for number, (source, control) in enumerate(
                    zip(sources, trial.fleet.controls, strict=True)
                )
            ]
        )
        winners = [n for n, (status, _) in enumerate(answers) if status == 200]
        trial.check(
            len(winners) == 1,
            f'version {version}: expected one accepted document, '
            f'got {winners}',
        )
        if len(winners) == 1:
            await trial.put_in_force(sources[winners[0]])


async def entry_cut_off(trial):
    """An entry loses its links to control and must become unready."""
    relays = trial.fleet.relays_by_name['vm1']
    for relay in relays:
        relay.cut()
    url = trial.fleet.by_name['vm1'].url('callers')

    async def unready():
        return not await trial._is_ready(url)

    elapsed_s = await trial._wait_until(unready, EFFECT_TIMEOUT_S)
    trial.check(
        elapsed_s < EFFECT_TIMEOUT_S,
        'an entry cut off from control stays ready',
    )
    source = trial.source(trial.version + 1, withdrawn=True)
    await trial.put_in_force(source)
    status = await trial.request_status(url, trial.key)
    trial.check(
        status == 503,
        f'an entry cut off from control responds {status} to a withdrawn '
        'key, expected 503',
    )
    trial.notes.append(f'unready after {elapsed_s:.1f} s')
    for relay in relays:
        relay.heal()
    trial.notes.append(
        f'ready after {await trial.wait_until_ready("vm1"):.1f} s'
    )


async def links_silent(trial):
    """Open connections to control stall forever; new ones work."""
    for relays in trial.fleet.relays_by_name.values():
        for relay in relays:
            relay.silence_open()
    await asyncio.sleep(6)
    for entry in trial.fleet.entries:
        elapsed_s = await trial.wait_until_ready(entry.name)
        trial.check(elapsed_s < EFFECT_TIMEOUT_S, f'{entry.name} is not ready')


async def decode_crashed(trial):
    """A decode server crashes during streams and restarts."""
    await asyncio.sleep(1)
    for _ in range(3):
        await trial.backends.crash('decode-1')
        await asyncio.sleep(2)
        await trial.backends.start('decode-1', 'decode', 'drafting')
        await asyncio.sleep(2)


async def server_leaves(trial):
    """A leaving decode server gets no orders after 3 s."""
    await trial.backends.leave('decode-1')
    await asyncio.sleep(3)
    standin = trial.backends.by_id['decode-1'].standin
    before = standin.runs
    await asyncio.sleep(3)
    trial.check(standin.runs == before, 'a leaving server got new orders')


async def entry_drained(trial):
    """An entry shuts down under load and completes its streams."""
    await asyncio.sleep(1)
    code = await asyncio.to_thread(trial.fleet.terminate, 'vm2')
    trial.check(code == 0, f'expected exit code 0, got {code}')
    cut = trial.callers.record.counts['visibly incomplete']
    trial.check(cut == 0, f'{cut} responses were cut off')


async def over_rate(trial):
    """An account exceeds its rate while an entry is killed."""
    loop = asyncio.get_running_loop()
    urls = [entry.url('callers') for entry in trial.fleet.entries]
    spender = callers.Callers(trial.session, urls, trial.spender_key, 2)
    begin_s = loop.time()
    tasks = [
        asyncio.create_task(spender.send_drafts(f'spender {n}'))
        for n in range(SPENDER_CALLERS)
    ]
    await asyncio.sleep(SPENDING_DURATION_S / 3)
    trial.fleet.kill('vm2')
    await asyncio.sleep(SPENDING_DURATION_S / 3)
    trial.fleet.start('vm2')
    await asyncio.sleep(SPENDING_DURATION_S / 3)
    spender.stopping.set()
    await asyncio.gather(*tasks)
    elapsed_s = loop.time() - begin_s
    grant = SPENDER_RATE * elapsed_s + SPENDER_BURST
    spent = spender.record.tokens
    trial.notes.append(f'spent {spent} of {grant:.0f} tokens')
    trial.check(
        spent <= grant, f'spent {spent} tokens, at most {grant:.0f} allowed'
    )
    trial.check(spent > grant / 4, f'spent only {spent} of {grant:.0f} tokens')
    trial.problems += spender.record.problems


SCENARIOS = (
    calm,
    entry_killed,
    control_killed,
    control_frozen,
    disk_lost,
    key_withdrawn,
    operators_race,
    entry_cut_off,
    links_silent,
    decode_crashed,
    server_leaves,
    entry_drained,
    over_rate,
)


async def run(scenario, seed):
    """Run one scenario in a fleet of its own.

    :returns: whether every guarantee held.
    """
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        fleet = processes.Fleet(folder, CONTROLS, ENTRIES, with_relays=True)
        trial = await start(stack, fleet, seed)
        if not trial.problems:
            await trial.start_load()
            await scenario(trial)
            await trial.stop_load()
        report(scenario, trial)
        return not trial.problems


async def start(stack, fleet, seed):
    """Start a fleet with stand-ins and wait until it serves requests.

    :param stack: an AsyncExitStack that closes what is opened.
    :returns: the Trial.
    """
    await fleet.start_relays(stack)
    stack.callback(fleet.stop_all)
    fleet.start_all()
    connector = aiohttp.TCPConnector(limit=0)
    session = await stack.enter_async_context(
        aiohttp.ClientSession(connector=connector)
    )
    urls = [entry.url('backends') for entry in fleet.entries]
    standins = backends.StandinServers(
        session, urls, fleet.secrets['backends']
    )
    stack.push_async_callback(standins.stop_all)
    trial = Trial(fleet, session, standins, seed)
    await prepare(trial)
    return trial


async def prepare(trial):
    """Put a document in force, wait for entries and start stand-ins."""
    await trial.put_in_force(trial.source(1))
    for entry in trial.fleet.entries:
        await trial.wait_until_ready(entry.name)
    for number in (1, 2):
        await trial.backends.start(f'prefill-{number}', 'prefill', 'drafting')
        await trial.backends.start(f'decode-{number}', 'decode', 'drafting')
    await trial.backends.start('portal-1', 'service', 'portal')
    await asyncio.sleep(2)


def report(scenario, trial):
    """Print the results of a scenario."""
    result = 'FAILED' if trial.problems else 'passed'
    print(f'{scenario.__name__}: {result}', *trial.notes)
    for kind, count in sorted(trial.callers.record.counts.items()):
        print(f'  {kind}: {count}')
    for problem in trial.problems:
        print(f'  PROBLEM: {problem}')


async def main(names, seed):
    """Run the named scenarios, or all; return the exit code."""
    scenarios = [s for s in SCENARIOS if not names or s.__name__ in names]
    results = [await run(scenario, seed) for scenario in scenarios]
    print(f'{sum(results)} of {len(results)} scenarios passed')
    return 0 if all(results) else 1


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('scenario', nargs='*')
    given = parser.parse_args()
    sys.exit(asyncio.run(main(given.scenario, given.seed)))
