"""The zone commands: evacuate an availability zone and restore it."""

import json as json_format
import urllib.parse

from bulrushrudder.commands import client
from bulrushrudder.commands import errors
from bulrushrudder.state import evacuations

_YES_NO_BY_VALUE = {True: 'yes', False: 'no'}


def evacuate(zone, control, secret, operator='unnamed', json=False):
    """Have no more requests sent to the backend servers of a zone.

    What runs there finishes. Ordering it again changes nothing.

    :param zone: the zone, as its servers announce it.
    :param control: host:port of any control process.
    :param secret: the file with the operators secret.
    :param operator: your name, for the log.
    :param json: whether to print JSON.
    """
    _order('POST', zone, client.Client(control, secret), operator, json)


def restore(zone, control, secret, operator='unnamed', json=False):
    """Have requests sent to the backend servers of a zone again.

    :param zone: the zone, as its servers announce it.
    :param control: host:port of any control process.
    :param secret: the file with the operators secret.
    :param operator: your name, for the log.
    :param json: whether to print JSON.
    """
    _order('DELETE', zone, client.Client(control, secret), operator, json)


def show(zone, control, secret, json=False):
    """Print whether a zone is evacuated, and its backend servers.

    :param zone: the zone, as its servers announce it.
    :param control: host:port of any control process.
    :param secret: the file with the operators secret.
    :param json: whether to print JSON.
    """
    api = client.Client(control, secret)
    content = api.call('GET', _path(zone)).content
    if json:
        print(json_format.dumps(content))
        return
    print(f'evacuated: {_YES_NO_BY_VALUE[content["evacuated"]]}')
    print(f'backend servers: {", ".join(content["servers"]) or "none"}')


def _order(method, zone, api, operator, json):
    path = f'{_path(zone)}/evacuation'
    content = api.call(method, path, operator=operator).content
    if json:
        print(json_format.dumps(content))
        return
    again = ' (nothing to change)' if content['repeated'] else ''
    print(f'in the log at index {content["index"]}{again}')


def _path(zone):
    if not evacuations.is_zone_name(zone):
        raise errors.CommandError(
            errors.ExitCode.USAGE, f'zone: {evacuations.EXPECTED_NAME}'
        )
    return f'/zones/{urllib.parse.quote(zone, safe="")}'
