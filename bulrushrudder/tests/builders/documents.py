"""Builders of documents and their parts."""

from bulrushrudder.core import ids
from bulrushrudder.core import keys
from bulrushrudder.documents import differences
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.state import documents as state_documents

CALLER_KEY = 'brk_test'


def account(
    account_id='acme', rate=100.0, burst=1000, weight=1.0, key=CALLER_KEY
):
    """Return a client account with one key."""
    return types.ClientAccount(
        id=ids.AccountId(account_id),
        rate=rate,
        burst=burst,
        weight=weight,
        key_digests=(keys.digest(key),),
    )


def model_route(route_id='drafts', path='/v1/completions', **changes):
    """Return a route to the model drafting."""
    fields = {
        'id': ids.RouteId(route_id),
        'method': 'POST',
        'path': path,
        'target': types.ModelTarget(ids.ModelId('drafting'), 2.0, 0.1),
        'urgency': types.Urgency.INTERACTIVE,
        'accounts': (),
        'open': False,
        'repeatable': True,
        'patience_s': 10.0,
    }
    return types.Route(**{**fields, **changes})


def filing_route(route_id='filings', path='/filings'):
    """Return a route to a service whose calls are not repeatable."""
    target = types.ServiceTarget(ids.ServiceId('portal'), 5.0, 1)
    return model_route(route_id, path, target=target, repeatable=False)


def document(version=1, accounts=None, routes=None):
    """Return a document with one account, model and route."""
    return types.Document(
        version=version,
        accounts=(account(),) if accounts is None else accounts,
        models=(types.Model(ids.ModelId('drafting'), 64),),
        routes=(model_route(),) if routes is None else routes,
        register=lookups.EMPTY_DOCUMENT.register,
        cut_on_withdrawal=False,
    )


def submission(submitted, digest='d1', operator='ana'):
    """Return the command that submits a first document to trial."""
    return state_documents.SubmitDocument(
        base_version=0,
        base_digest='',
        difference=differences.between(lookups.EMPTY_DOCUMENT, submitted),
        digest=digest,
        operator=operator,
    )


def service(service_id='portal', max_connections=100):
    """Return a plain service."""
    return types.Service(ids.ServiceId(service_id), max_connections, None)


def caller_bounds(max_header_bytes=16384, max_body_bytes=4096, idle_s=15.0):
    """Return limits on what callers send."""
    return types.CallerBounds(
        max_header_bytes=max_header_bytes,
        max_body_bytes=max_body_bytes,
        header_s=3.0,
        idle_s=idle_s,
    )
