"""Prints what a control process knows of the system."""

import json as json_format

from bulrushrudder.commands import client


def status(control, secret, json=False):
    """Print the state of the system.

    :param control: host:port of any control process.
    :param secret: the file that holds the operators secret.
    :param json: whether to print JSON.
    """
    reply = client.call('GET', control, secret, '/status')
    if json:
        print(json_format.dumps(reply.content))
        return
    for name, value in reply.content.items():
        print(f'{name}: {value}')
