"""Builders of coordinator clients on several VMs without links."""

from returns import result

from bulrushrudder.backpressure import table
from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.entry import coordinator_client
from bulrushrudder.observers import view
from bulrushrudder.placement import crossing
from bulrushrudder.protocol import errors
from bulrushrudder.protocol import place_messages
from bulrushrudder.state import servers
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import fleet


class FakeDirectory:
    """A role directory that calls the client of the hosting VM directly.

    :param vms: the CoordinatorFleet.
    """

    def __init__(self, vms):
        self._vms = vms
        self.suspicion_changes = 0

    async def ask(self, key, place_request, patience_s, serve):
        if self._vms.host in self._vms.down:
            return result.Failure(
                errors.LinkError(errors.LinkProblem.CLOSED, 'down', False)
            )
        client = self._vms.clients_by_vm[self._vms.host]
        return result.Success(await client.serve(place_request))

    async def send(self, key, message, serve):
        if self._vms.host not in self._vms.down:
            client = self._vms.clients_by_vm[self._vms.host]
            await client.serve(message)

    def host_of(self, key):
        return self._vms.host


class CoordinatorFleet:
    """CoordinatorClients of several VMs that share one view.

    :ivar host: the VM that is in charge of all models.
    :ivar down: VMs that are unreachable.
    """

    def __init__(self, names, costs=crossing.FIXED):
        self.view = view.View(types.Environment.PRODUCTION)
        self.host = names[0]
        self.down = set()
        self.clients_by_vm = {}
        for name in names:
            owner = fleet.owner(name)
            self.apply(
                sessions.OpenSession(owner, ids.Zone('a'), '127.0.0.1', 1)
            )
            self.clients_by_vm[name] = coordinator_client.CoordinatorClient(
                owner,
                self.view,
                FakeDirectory(self),
                table.StatementTable(),
                costs=costs,
            )

    def apply(self, command):
        """Commit a command."""
        self.view.apply(self.view.index + 1, command)

    def join(self, places=1):
        """Add a prefill and a decode server to the view.

        :param places: number of places on each.
        """
        for kind in ('prefill', 'decode'):
            server = fleet.server(f'{kind}-1', kind, places=places)
            self.apply(servers.JoinServer(server))


def place_request(request='1', vm='vm1', **changes):
    """Return a PlaceRequest message."""
    fields = {
        'request': ids.RequestId(request),
        'owner': fleet.owner(vm),
        'account': 'acme',
        'model': ids.ModelId('drafting'),
        'prompt_tokens': 100,
        'output_tokens': 20,
        'interactive': True,
        'patience_s': 5.0,
    }
    return place_messages.PlaceRequest(**{**fields, **changes})
