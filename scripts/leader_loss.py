"""Kills the leader of real control processes while changes are proposed.

Usage: python scripts/leader_loss.py [--controls N] [--kills N]

Prints the longest time between two accepted changes around each kill,
and how many accepted changes are missing from any log at the end.
"""

import argparse
import asyncio
import contextlib
import pathlib
import sys
import tempfile

import processes
from returns import result

from bulrushrudder.config import settings
from bulrushrudder.core import ids
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import log_messages
from bulrushrudder.protocol import peers
from bulrushrudder.protocol import status_messages
from bulrushrudder.state import results
from bulrushrudder.state import sessions

REQUEST_TIMEOUT_S = 3.0
START_TIMEOUT_S = 20.0
KILL_INTERVAL_S = 4.0
PROPOSAL_INTERVAL_S = 0.01


class Proposer:
    """Proposes changes one after another, to each control process in turn.

    :param addresses: addresses of the control processes.
    :param secret: the cluster secret, as bytes.
    :ivar accepted: owner of the proposed session by log index.
    :ivar longest_gap_s: longest time between two accepted changes.
    """

    def __init__(self, addresses, secret):
        owner = ids.Owner(ids.VmId('script'), 1)
        self._peers = peers.Peers(owner, secret, None)
        self._addresses = addresses
        self.accepted = {}
        self.longest_gap_s = 0.0

    async def run(self):
        """Propose until cancelled."""
        loop = asyncio.get_running_loop()
        last_accepted_s = loop.time()
        for number in range(1, sys.maxsize):
            owner = ids.Owner(ids.VmId(f'vm{number % 50}'), number)
            command = sessions.OpenSession(
                owner, ids.Zone('a'), '127.0.0.1', number
            )
            address = self._addresses[number % len(self._addresses)]
            request = log_messages.Propose(codec.encode(command))
            match await self._peers.ask(address, request, REQUEST_TIMEOUT_S):
                case result.Success(log_messages.Proposed(outcome=data)):
                    outcome = codec.decode(data).unwrap()
                    if isinstance(outcome, results.Accepted):
                        self.accepted[outcome.index] = owner
                        self.longest_gap_s = max(
                            self.longest_gap_s, loop.time() - last_accepted_s
                        )
                        last_accepted_s = loop.time()
            await asyncio.sleep(PROPOSAL_INTERVAL_S)

    async def status(self):
        """Return the Status of the first process that answers, or None."""
        for address in self._addresses:
            request = status_messages.StatusRequest()
            match await self._peers.ask(address, request, REQUEST_TIMEOUT_S):
                case result.Success(status_messages.Status() as found):
                    return found
        return None

    async def history(self, address):
        """Return the owners of sessions by index in one process's log."""
        owner_by_index = {}
        done = asyncio.Event()

        async def collect(link_, message):
            match message:
                case log_messages.Entries(first=first, commands=commands):
                    for index, data in enumerate(commands, first):
                        if data:
                            command = codec.decode(data).unwrap()
                            owner_by_index[index] = command.owner
                    if max(owner_by_index, default=0) >= max(self.accepted):
                        done.set()

        owner = ids.Owner(ids.VmId('reader'), 1)
        reader = peers.Peers(owner, self._peers._secret, collect)
        await reader.send(address, log_messages.Observe(owner, 0))
        async with asyncio.timeout(START_TIMEOUT_S):
            await done.wait()
        reader.close()
        return owner_by_index


async def main(arguments):
    """Kill leaders, check the logs and return the exit code."""
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        fleet = processes.Fleet(folder, arguments.controls, 0)
        stack.callback(fleet.stop_all)
        fleet.start_all()
        names_by_address = {
            str(settings.Address(**p.addresses['inner'])): p.name
            for p in fleet.controls
        }
        addresses = [settings.parse_address(a) for a in names_by_address]
        secret = fleet.secrets['cluster'].encode()
        proposer = Proposer(addresses, secret)
        async with asyncio.timeout(START_TIMEOUT_S):
            while (await proposer.status()) is None:
                await asyncio.sleep(0.1)
        running = asyncio.create_task(proposer.run())
        for _ in range(arguments.kills):
            await asyncio.sleep(KILL_INTERVAL_S)
            proposer.longest_gap_s = 0.0
            leader = names_by_address[(await proposer.status()).leader]
            fleet.kill(leader)
            await asyncio.sleep(KILL_INTERVAL_S)
            print(
                f'longest time without accepted changes: '
                f'{proposer.longest_gap_s:.2f} s'
            )
            fleet.start(leader)
        await asyncio.sleep(KILL_INTERVAL_S)
        running.cancel()
        missing = 0
        for address in addresses:
            history = await proposer.history(address)
            missing += sum(
                history.get(index) != owner
                for index, owner in proposer.accepted.items()
            )
        print(f'{len(proposer.accepted)} accepted, {missing} lost or reverted')
        print(
            f'can lose one process: {(await proposer.status()).can_lose_one}'
        )
        return 1 if missing else 0


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--controls', type=int, default=3)
    parser.add_argument('--kills', type=int, default=3)
    sys.exit(asyncio.run(main(parser.parse_args())))
