import asyncio
import types as namespaces
import unittest

from bulrushrudder.entry import admission
from bulrushrudder.platform import calls
from bulrushrudder.platform import configuration
from bulrushrudder.platform import headers
from bulrushrudder.platform import jobs
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import platform as builders


class RankTests(unittest.TestCase):
    """Priorities of the configuration, in the jobs of calls."""

    def job(self, account_priority):
        changed = builders.configuration()
        changed['routes'][0]['priority'] = 2
        changed['tenants'][0]['priority'] = account_priority
        parsed = configuration.read(builders.encoded(changed)).unwrap()
        admitted = admission.AdmittedCall(parsed.routes[0], parsed.accounts[0])
        return asyncio.run(self.build(admitted, parsed.services[0]))

    async def build(self, admitted, service):
        shared = namespaces.SimpleNamespace(
            owner=fleet.owner(), next_request_number=lambda: 1
        )
        call = calls.ForwardedCall(
            'POST', '/drafts/1', (), b'', 'a', 14.0, 14.0
        )
        read = headers.RequestHeaders('a', 14.0, 10, 5, 4, True, (), '', '')
        return jobs.JobBuilder(shared).build(
            call, read, admitted, service, None
        )

    def test_account_precedes_route(self):
        self.assertEqual(self.job(0).rank, 0)

    def test_account_without_rank_has_rank_of_route(self):
        self.assertEqual(self.job(None).rank, 2)

    def test_job_has_target_of_its_route(self):
        self.assertEqual(self.job(None).target_s, 0.9)
