"""Control machines that are replaced in a simulated cluster."""

import string

from bulrushrudder.consensus import events
from bulrushrudder.consensus import types
from bulrushrudder.tests.builders import cluster

SEED_COUNT = 3
# From then on a machine that is new or back counts as present, and the
# one that it succeeds no longer counts as lost.
CATCH_UP_S = 4.0
# A message takes a step of 50 ms, and a transfer takes several.
STOP_S = 0.6
RECOVERY_TIMEOUT_S = 12.0


class Fleet:
    """Control machines of which some may be lost at a time.

    :param size: the number of machines in service.
    :param tolerance: how many may be lost at a time.
    :ivar group: the Cluster.
    :ivar machines: the addresses of the machines in service.
    """

    def __init__(self, size, tolerance, seed):
        names = string.ascii_lowercase[:size]
        self.group = cluster.Cluster(names, seed, names[:SEED_COUNT])
        self.size = size
        self.tolerance = tolerance
        self.machines = list(names)
        self._numbers = iter(range(1, 1000))
        self.group.run(CATCH_UP_S)
        self.group.may_found = False

    def pick(self, count=1):
        """Return random machines in service."""
        return self.group.random.sample(self.machines, count)

    def add(self):
        """Start an empty machine at a new address, and return it.

        The settings name the machines in service as seeds.
        """
        address = f'n{next(self._numbers)}'
        self.machines.append(address)
        self.group.addresses = tuple(self.machines)
        self._update_seeds()
        self.group.start(address)
        return address

    def lose(self, address):
        """Lose a machine for good, with its disk."""
        self.machines.remove(address)
        self.group.addresses = tuple(self.machines)
        self.group.wipe(address)

    def stop(self, address):
        """Stop a machine as SIGTERM does, then lose it for good."""
        self.announce_stop(address)
        self.group.run(STOP_S)
        self.lose(address)

    def pause(self, address, seconds):
        """Stop a process without a sound, and let it go on afterwards."""
        process = self.group.processes_by_address.pop(address)
        self.group.run(seconds)
        self.group.processes_by_address[address] = process

    def announce_stop(self, address):
        process = self.group.processes_by_address[address]
        process.inbox.append(events.StopRequested())

    def wipe(self, address):
        """Start a machine again with an empty disk at its old address."""
        self.group.wipe(address)
        self._update_seeds()
        self.group.start(address)

    def run_checked(self, seconds):
        """Run while no machine counts as lost.

        :raises AssertionError: if losing as many machines as tolerated
            could leave a configuration without a quorum.
        """
        until_s = self.group.now_s + seconds
        while self.group.now_s < until_s:
            self.group.run(cluster.STEP_S)
            self.check_losses_tolerated()

    def check_losses_tolerated(self):
        """Check the configurations that disks hold, for lost disks."""
        living = {disk.id for disk in self.group.disks_by_address.values()}
        for members in self.group.configurations_in_force():
            spare = len(living.intersection(types.voters(members)))
            spare -= types.quorum(members)
            if spare < self.tolerance:
                raise AssertionError(
                    f'only {spare} of {self.tolerance} machines could be '
                    f'lost at {self.group.now_s:.2f} s: {self.describe()}'
                )

    def check_machines_vote(self):
        """Check that all machines in service agree and are voters.

        An odd number of voters may include some that are gone.
        """
        voters = self.group.check_agreement()
        for address in self.machines:
            if self.group.disks_by_address[address].id not in voters:
                raise AssertionError(f'{address} is no voter')

    def propose(self):
        """Have the leader commit a change.

        :raises AssertionError: if there is no leader.
        """
        leaders = self.group.leaders()
        if not leaders:
            raise AssertionError(
                f'no leader at {self.group.now_s:.2f} s: {self.describe()}'
            )
        data = f'change at {self.group.now_s:.2f}'.encode()
        self.group.propose(leaders[0], data)

    def lose_power(self, lost):
        """Lose power everywhere and the disks of some machines.

        :raises AssertionError: if the log does not come back with all
            that was accepted.
        """
        for address in self.machines:
            self.group.kill(address)
        for address in lost:
            self.group.wipe(address)
        self.group.run(1.0)
        self._update_seeds()
        for address in self.machines:
            self.group.start(address)
        began_s = self.group.now_s
        while not self.group.leaders():
            self.group.run(cluster.STEP_S)
            if self.group.now_s - began_s > RECOVERY_TIMEOUT_S:
                raise AssertionError(f'no leader again: {self.describe()}')
        self.propose()
        self.group.run(RECOVERY_TIMEOUT_S)
        self.check_machines_vote()
        self.check_losses_tolerated()

    def others(self):
        """Return the machines in service that do not lead."""
        leaders = self.group.leaders()
        return [a for a in self.machines if a not in leaders]

    def voters(self):
        """Return the ids of the voters as the leader sees them."""
        (leader,) = self.group.leaders()
        return set(
            types.voters(
                self.group.processes_by_address[leader].replica.members
            )
        )

    def disk_ids(self):
        """Return the ids of the machines in service."""
        return {self.group.disks_by_address[a].id for a in self.machines}

    def changes_of(self, member_id):
        """Return the changes that leaders have made to a member."""
        return [
            change
            for change in self.group.member_changes
            if change.member.id == member_id
        ]

    def describe(self):
        """Return the machines and the voters that their disks hold."""
        addresses_by_id = {
            disk.id: address
            for address, disk in self.group.disks_by_address.items()
        }
        found = {
            ' '.join(addresses_by_id.get(m.id, 'gone') for m in members)
            for members in self.group.configurations_in_force()
        }
        return f'machines {self.machines}, members {sorted(found)}'

    def _update_seeds(self):
        self.group.seeds = tuple(self.machines[:SEED_COUNT])
