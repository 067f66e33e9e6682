"""Builders of jobs, the requests to models."""

from bulrushrudder.core import ids
from bulrushrudder.lifecycle import job as jobs
from bulrushrudder.tests.builders import fleet


def job(**changes):
    """Return a job of the account acme."""
    fields = {
        'request': ids.RequestId('1'),
        'owner': fleet.owner(),
        'account': ids.AccountId('acme'),
        'model': ids.ModelId('drafting'),
        'prompt': 'a prompt of some words',
        'prompt_tokens': 6,
        'output_tokens': 4,
        'cost': 10,
        'interactive': True,
        'patience_s': 5.0,
    }
    return jobs.Job(**{**fields, **changes})
