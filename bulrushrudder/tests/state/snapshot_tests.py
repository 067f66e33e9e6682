import unittest

from bulrushrudder.core import ids
from bulrushrudder.protocol import codec
from bulrushrudder.state import documents as state_documents
from bulrushrudder.state import evacuations
from bulrushrudder.state import machine
from bulrushrudder.state import quarantine
from bulrushrudder.state import servers
from bulrushrudder.state import sessions
from bulrushrudder.state import suspect_parts
from bulrushrudder.tests.builders import crashes
from bulrushrudder.tests.builders import documents
from bulrushrudder.tests.builders import fleet

COMMANDS = (
    documents.submission(documents.document(), 'd1'),
    state_documents.PromoteDocument(1, 'd1', 'ana'),
    sessions.OpenSession(fleet.owner(), ids.Zone('a'), '127.0.0.1', 1),
    servers.JoinServer(fleet.server()),
    servers.JoinServer(fleet.server('decode-2')),
    servers.LeaveServer(ids.ServerId('decode-2'), 1),
    servers.JoinServer(fleet.server('decode-2')),
    servers.SetServerLimit(ids.ServerId('decode-1'), 1, 2.5),
    servers.SetServerLimit(ids.ServerId('decode-2'), 1, 2.5),
    servers.JoinServer(fleet.server('decode-3', software='v1')),
    servers.JoinServer(fleet.server('decode-4', software='v2')),
    servers.LeaveServer(ids.ServerId('decode-4'), 1),
    servers.ForgetSoftware('drafting', 'v1'),
    sessions.CloseSession(fleet.owner()),
    servers.ForgetSoftware('drafting', 'v2'),
    state_documents.PromoteDocument(1, 'd2', 'iva'),
    quarantine.ReportCrash('f1', ids.ServerId('decode-2'), 1, True),
    quarantine.ReportCrash('f1', ids.ServerId('decode-2'), 1, True),
    quarantine.ReportCrash('f1', ids.ServerId('decode-2'), 2, True),
    quarantine.ReportCrash('f2', ids.ServerId('decode-2'), 2, False),
    quarantine.ClearSuspect('f1'),
    quarantine.ClearSuspect('f2'),
    crashes.report('r1', ('p1', 'p2'), 1, view=0),
    crashes.report('r2', ('p1', 'p2'), 2, view=15),
    suspect_parts.ClearParts(('p2',)),
    crashes.report('r3', ('p1',), 3, view=16),
    suspect_parts.TryParts(('p1',)),
    evacuations.evacuate(ids.Zone('a')),
    evacuations.evacuate(ids.Zone('b')),
    servers.JoinServer(fleet.server('decode-5')),
    evacuations.restore(ids.Zone('a')),
)


class SnapshotTests(unittest.TestCase):
    def test_restored_state_applies_commands_as_original(self):
        for cut in range(len(COMMANDS)):
            with self.subTest(cut):
                self._check_restore(cut)

    def _check_restore(self, cut):
        original = machine.State()
        for index, command in enumerate(COMMANDS[:cut], 1):
            original.apply(index, command)
        data = codec.encode(original.snapshot())
        restored = machine.State()
        restored.restore(codec.decode(data).unwrap())
        for index, command in enumerate(COMMANDS[cut:], cut + 1):
            outcome = original.apply(index, command)
            self.assertEqual(restored.apply(index, command), outcome)
        self.assertEqual(restored.snapshot(), original.snapshot())
