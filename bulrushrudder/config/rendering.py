"""Render a document as YAML; loading it yields an equal document."""

import yaml

from bulrushrudder.documents import types


def iter_yaml(document):
    """Yield the YAML of a document in chunks of bounded size."""
    yield _dump({'version': document.version})
    yield from _section('accounts', map(_account, document.accounts))
    yield from _section('models', map(_model, document.models))
    yield from _section('routes', map(_route, document.routes))
    yield _dump({'at_most_once': _register(document.register)})
    cut = document.cut_on_withdrawal
    yield _dump({'on_withdrawal': 'cut' if cut else 'finish'})


def _section(name, items):
    rendered = [_dump([item]) for item in items]
    if not rendered:
        yield f'{name}: []\n'
        return
    yield f'{name}:\n'
    yield from rendered


def _dump(content):
    return yaml.dump(content, Dumper=yaml.CSafeDumper, sort_keys=False)


def _account(account):
    return {
        'id': account.id,
        'rate': account.rate,
        'burst': account.burst,
        'weight': account.weight,
        'keys': list(account.key_digests),
    }


def _model(model):
    return {'id': model.id, 'max_output_tokens': model.max_output_tokens}


def _route(route):
    return {
        'id': route.id,
        'path': route.path,
        'method': route.method,
        **_target(route.target),
        'urgency': route.urgency.value,
        'accounts': list(route.accounts),
        'open': route.open,
        'repeatable': route.repeatable,
        'patience_s': route.patience_s,
    }


def _target(target):
    match target:
        case types.ModelTarget():
            return {
                'model': target.model,
                'first_token_s': target.first_token_s,
                'between_tokens_s': target.between_tokens_s,
            }
        case types.ServiceTarget():
            return {
                'service': target.service,
                'timeout_s': target.timeout_s,
                'call_tokens': target.call_tokens,
            }
    raise AssertionError(f'unknown route target {target!r}')


def _register(register):
    return {
        'retention_s': register.retention_s,
        'max_answer_bytes': register.max_answer_bytes,
        'max_entries': register.max_entries,
    }
