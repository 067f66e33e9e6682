"""Prints what a control process knows of the system."""

import json as json_format

from bulrushrudder.commands import client


def status(control, secret, json=False):
    """Print the state of the system.

    :param control: host:port of any control process.
    :param secret: the file that holds the operators secret.
    :param json: whether to print JSON.
    """
    content = client.Client(control, secret).call('GET', '/status').content
    if json:
        print(json_format.dumps(content))
        return
    for name, value in content.items():
        print(f'{name}: {_shown(value)}')


def _shown(value):
    match value:
        case bool():
            return 'yes' if value else 'no'
        case list():
            return ', '.join(map(str, value)) or 'none'
        case dict():
            pairs = [f'{k} {v}' for k, v in value.items()]
            return ', '.join(pairs) or 'none'
    return value
