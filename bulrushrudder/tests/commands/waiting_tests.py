import dataclasses
import unittest

from bulrushrudder.commands import errors
from bulrushrudder.commands import waiting


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    content: dict


class FakeClient:
    """Returns the next of the given statuses at each call."""

    def __init__(self, *indexes_by_vm):
        self._indexes_by_vm = list(indexes_by_vm)

    def call(self, method, path):
        indexes = self._indexes_by_vm.pop(0)
        sessions = [{'vm': vm, 'index': i} for vm, i in indexes.items()]
        return Reply({'sessions': sessions})


class WaitingTests(unittest.TestCase):
    def test_timeout_error_names_lagging_vms(self):
        client = FakeClient({'vm1': 7, 'vm3': 6, 'vm2': 0})
        with self.assertRaises(errors.CommandError) as caught:
            waiting.wait_until_in_force(client, 7, wait_s=-1)
        self.assertEqual(caught.exception.code, errors.ExitCode.NOT_IN_FORCE)
        self.assertIn('not in force on: vm2, vm3', caught.exception.lines[0])

    def test_returns_when_all_live_vms_have_caught_up(self):
        client = FakeClient({'vm1': 6, 'vm2': 5}, {'vm1': 8})
        waiting.wait_until_in_force(client, 7)
        self.assertEqual(client._indexes_by_vm, [])
