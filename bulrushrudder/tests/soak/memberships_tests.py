import contextlib
import pathlib
import tempfile
import unittest

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import types
from bulrushrudder.storage import store
from bulrushrudder.tests.builders import soak_cores
from bulrushrudder.tests.soak import memberships
from bulrushrudder.tests.soak import programs

HARD_STATE = types.HardState('a', 3, '')


class LastTests(unittest.TestCase):
    def test_last_membership_is_that_of_the_newest_log(self):
        disks = [
            soak_cores.disk('a', (3, 10), {'a': 1, 'b': 2}),
            soak_cores.disk('b', (2, 90), {'c': 3}),
        ]
        self.assertEqual(memberships.last(disks).voters, (1, 2))

    def test_voter_whose_disk_is_gone_is_gone(self):
        disks = [soak_cores.disk('a', (3, 10), {'a': 1, 'b': 2})]
        self.assertEqual(memberships.last(disks).gone, (2,))

    def test_newest_log_may_be_on_a_disk_that_is_gone(self):
        left = [soak_cores.disk('a', (0, 0))]
        gone = [soak_cores.disk('b', (3, 10), {'b': 2, 'c': 3}, {'a': 1})]
        found = memberships.last(left, gone)
        self.assertEqual((found.voters, found.gone), ((2, 3), (2, 3)))

    def test_voter_with_a_new_disk_at_its_address_is_gone(self):
        disks = [
            soak_cores.disk('a', (3, 10), {'a': 1, 'b': 2}, {'c': 2}),
            soak_cores.disk('c', (3, 9)),
        ]
        found = memberships.last(disks)
        self.assertEqual((found.gone, found.learners), ((2,), (2,)))


class ReadTests(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory())
        )

    def make(self, name, *entries):
        """Return the path of a data folder and its member id."""
        path = self.folder / name
        with contextlib.ExitStack() as stack:
            opened = store.open_store(stack, path).unwrap()
            opened.store.save([actions.SaveEntries(HARD_STATE, entries)])
        return path, opened.id

    def test_reads_members_of_the_last_configuration(self):
        members = (
            types.Member('a', '127.0.0.1:7610', True),
            types.Member('b', '127.0.0.12:7610', False),
        )
        path, id_ = self.make(
            'one',
            types.Entry(1, 2, types.Configuration(members[:1])),
            types.Entry(2, 3, types.Configuration(members)),
        )
        found = memberships.read([path], programs.ROOT)
        self.assertEqual(
            found, [soak_cores.disk(id_, (3, 2), {'a': 1}, {'b': 12})]
        )

    def test_reads_an_empty_disk(self):
        path, id_ = self.make('empty')
        found = memberships.read([path], programs.ROOT)
        self.assertEqual(found, [soak_cores.disk(id_, (0, 0))])
