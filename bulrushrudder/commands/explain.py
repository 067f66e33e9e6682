"""The explain command: print what would become of a request now."""

import json as json_format
import urllib.parse

from bulrushrudder.commands import client


def explain(
    control,
    secret,
    account,
    target,
    tokens,
    output_tokens=256,
    vm='',
    environment='production',
    json=False,
):
    """Print which servers or queue a request would get now, and why.

    Nothing is sent to a server, booked, spent or counted.

    :param control: host:port of any control process.
    :param secret: the file with the operators secret.
    :param account: id of the client account.
    :param target: id or path of a route, or id of a model or service.
    :param tokens: tokens of the prompt.
    :param output_tokens: bound on the tokens of the answer.
    :param vm: the entry VM of the caller; that which decides if absent.
    :param environment: trial or production.
    :param json: whether to print JSON.
    """
    query = {
        'account': account,
        'target': target,
        'tokens': tokens,
        'output_tokens': output_tokens,
        'vm': vm,
        'environment': environment,
    }
    path = f'/explain?{urllib.parse.urlencode(query)}'
    content = client.Client(control, secret).call('GET', path).content
    if json:
        print(json_format.dumps(content))
        return
    if content['rejected']:
        print(f'rejected at once: {content["rejected"]}')
    for pool in content['pools']:
        _print_pool(pool)


def _print_pool(pool):
    print(
        f'{pool["pool"]}: {_format_fate(pool)}; decided by {pool["vm"]}, '
        f'view {pool["view_index"]}, {pool["view_age_s"]:.1f} s old; '
        f'{pool["queued"]} queued'
    )
    for candidate in pool['candidates']:
        print(f'  {_format_candidate(candidate)}')


def _format_fate(pool):
    if pool['reason']:
        return f'{pool["reason"]}, retry after {pool["retry_after_s"]:.2f} s'
    chosen = [c['server'] for c in pool['candidates'] if c['chosen']]
    return f'{pool["fate"]} {" and ".join(chosen)}'.strip()


def _format_candidate(candidate):
    figures = ', '.join(
        f'{name} {value:.4g}' for name, value in candidate['figures'].items()
    )
    age = candidate['age_s']
    measured = 'never measured' if age is None else f'{age:.1f} s old'
    verdict = 'chosen' if candidate['chosen'] else candidate['why_not']
    return (
        f'{candidate["server"]} ({candidate["kind"]}, zone '
        f'{candidate["zone"]}): {verdict}; {figures}; {measured}'
    )
