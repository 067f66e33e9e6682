"""Entries that are cut off from all servers."""

import asyncio
import collections
import dataclasses
import socket

from bulrushrudder.tests.soak import gates
from bulrushrudder.tests.soak import record

# From this time after a cut began, its clients are owed answers.
CONTACT_S = 3.0
SERVED_SHARE = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50
NO_LISTENER_PORT = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Hangs:
    """Connections, old and new, fall silent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resets:
    """Connections are reset, and new ones are refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuses:
    """Connections live on, and new ones are refused."""


Kind = Hangs | Resets | Refuses


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A cut that has ended.

    :param names: names of the machines that were cut off.
    """

    kind: Kind
    names: tuple
    began_s: float
    ended_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tries:
    """First tries of clients at some machines."""

    sent: int = 0
    served: int = 0

    @property
    def share(self):
        """Return the share that was served."""
        return self.served / max(1, self.sent)


class Cuts:
    """Cuts entries off from all servers and joins them again.

    :param fleet: the Fleet.
    :param rng: random.Random.
    :ivar ended: the Cuts that have ended.
    """

    def __init__(self, fleet, rng):
        self.ended = []
        self._fleet = fleet
        self._record = fleet.record
        self._rng = rng
        self._writers_by_name = collections.defaultdict(set)
        self._hanging = set()
        self._healed = asyncio.Event()
        self._hole = None

    def add_connection(self, name, writer):
        """Add a connection of a machine to a server."""
        self._writers_by_name[name].add(writer)

    def remove_connection(self, name, writer):
        """Remove a connection that has ended."""
        self._writers_by_name[name].discard(writer)

    async def wait_for_path(self, name):
        """Wait until bytes pass between a machine and servers."""
        while name in self._hanging:
            await self._healed.wait()

    async def run(self, for_s):
        """Play one cut after the other until the time has passed."""
        until_s = self._record.now_s() + for_s
        kinds = [Hangs(), Resets(), Refuses()]
        self._rng.shuffle(kinds)
        while self._record.now_s() < until_s:
            for kind in kinds:
                await asyncio.sleep(self._rng.uniform(2.0, 6.0))
                await self._play(kind)
        await asyncio.sleep(CONTACT_S)

    def begin(self, kind, machines):
        """Cut machines off from all servers."""
        names = [machine.name for machine in machines]
        self._record.write(f'{kind} cuts off {names}')
        for machine in machines:
            machine.detour.write_text(self._detour(kind))
        match kind:
            case Hangs():
                self._healed.clear()
                self._hanging.update(names)
            case Resets():
                for name in names:
                    for writer in tuple(self._writers_by_name[name]):
                        gates.reset(writer)

    def heal(self, machines):
        """Join machines with all servers again."""
        for machine in machines:
            machine.detour.unlink()
        self._hanging.clear()
        self._healed.set()
        self._record.write('all reach servers again')

    async def _play(self, kind):
        count = self._rng.randint(1, len(self._fleet.edges) - 1)
        machines = self._rng.sample(self._fleet.edges, count)
        names = tuple(machine.name for machine in machines)
        began_s = self._record.now_s()
        self.begin(kind, machines)
        await asyncio.sleep(self._rng.uniform(7.0, 12.0))
        self.heal(machines)
        now_s = self._record.now_s()
        self.ended.append(Cut(kind, names, began_s, now_s))

    def _detour(self, kind):
        """Return where new connections lead, as address and port."""
        if not isinstance(kind, Hangs):
            return f'{self._fleet.network}.253:{NO_LISTENER_PORT}'
        if self._hole is None:
            self._hole = _Hole(f'{self._fleet.network}.252')
        return self._hole.address

    def close(self):
        """Close what hanging connections lead to."""
        if self._hole is not None:
            self._hole.close()


class _Hole:
    """A listener that answers no new connection, as its queue is full."""

    def __init__(self, host):
        listener = socket.socket()
        listener.bind((host, 0))
        listener.listen(0)
        self._sockets = [listener]
        self.address = '{}:{}'.format(*listener.getsockname())
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            self._sockets.append(filler)

    def close(self):
        for opened in self._sockets:
            opened.close()


def tries(sent, cut):
    """Return the Tries at machines that are cut off, and at the others."""
    counts = {True: [0, 0], False: [0, 0]}
    for attempt in sent:
        if not cut.began_s + CONTACT_S <= attempt.sent_s < cut.ended_s:
            continue
        count = counts[attempt.process.partition('/')[0] in cut.names]
        count[0] += 1
        count[1] += attempt.status == 200 and attempt.whole
    return Tries(*counts[True]), Tries(*counts[False])


def judge(sent, cuts):
    """Yield a Break for each Cut whose clients were served far worse."""
    for cut in cuts:
        off, others = tries(sent, cut)
        failed = off.sent - off.served
        allowed = MAX_FAILED + MAX_FAILED_SHARE * (off.sent + others.sent)
        if off.share < SERVED_SHARE * others.share and failed > allowed:
            yield record.Break(
                'RECOVER',
                f'{cut.kind}: {off.served} of {off.sent} first tries at '
                f'{", ".join(cut.names)} were served, {others.served} of '
                f'{others.sent} at the others',
            )


def summary(sent, cuts):
    """Return the shares served, at machines cut off and at the others."""
    return [
        [
            type(cut.kind).__name__,
            *(round(t.share, 3) for t in tries(sent, cut)),
        ]
        for cut in cuts
    ]
