import unittest

import logbook

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import types
from bulrushrudder.control import member_log
from bulrushrudder.events import catalogue

OLD = types.Member(types.MemberId('x'), 'a:1', voter=True)
NEW = types.Member(types.MemberId('y'), 'b:1', voter=False)


class MemberLogTests(unittest.TestCase):
    def setUp(self):
        self.logs = self.enterContext(logbook.TestHandler().applicationbound())

    def logged(self):
        (record,) = self.logs.records
        return record.extra['event'], record.extra['fields']

    def test_removal_names_member_reason_and_tolerable_losses(self):
        change = actions.MemberChanged(
            actions.MemberChange.REMOVED,
            OLD,
            actions.ChangeReason.SILENT,
            (types.MemberId('z'),),
            2,
        )
        member_log.log_change(change, 7)
        event, fields = self.logged()
        self.assertEqual(event, catalogue.MEMBER_REMOVED)
        self.assertEqual(
            fields,
            {
                'member': 'x',
                'address': 'a:1',
                'voter': True,
                'reason': 'silent',
                'voters': ['z'],
                'tolerable_losses': 2,
                'term': 7,
            },
        )

    def test_committed_members_name_voters_and_learners(self):
        payload = types.Configuration((OLD, NEW))
        member_log.log_committed(types.Entry(5, 3, payload))
        event, fields = self.logged()
        self.assertEqual(event, catalogue.MEMBERS_COMMITTED)
        self.assertEqual(
            fields,
            {
                'index': 5,
                'term': 3,
                'voters': ['x'],
                'addresses': ['a:1'],
                'learners': ['y'],
            },
        )
