"""The status command: print the state of the system."""

import json as json_format

from bulrushrudder.commands import client

_YES_NO_BY_VALUE = {True: 'yes', False: 'no'}


def status(control, secret, json=False):
    """Print the state of the system as the leader sees it.

    :param control: host:port of any control process.
    :param secret: the file with the operators secret.
    :param json: whether to print JSON.
    """
    content = client.Client(control, secret).call('GET', '/status').content
    if json:
        print(json_format.dumps(content))
        return
    can_lose = _YES_NO_BY_VALUE[content['can_lose_one']]
    print(f'leader: {content["leader"]}, term {content["term"]}')
    print(f'index: {content["index"]}')
    print(f'one more control VM can be lost now: {can_lose}')
    print(f'control VMs that can be lost now: {content["tolerable_losses"]}')
    for member in content['members']:
        print(_format_member(member))
    for session in content['sessions']:
        print(_format_session(session))
    print(f'backend servers: {", ".join(content["servers"]) or "none"}')
    # Control processes of the previous build know of no evacuations.
    zones = content.get('evacuated_zones', ())
    print(f'evacuated zones: {", ".join(zones) or "none"}')


def _format_member(member):
    kind = 'voter' if member['voter'] else 'learner'
    live = 'live' if member['live'] else 'silent'
    return (
        f'control {member["address"]}: {kind}, {live}, '
        f'{member["lag"]} entries behind'
    )


def _format_session(session):
    contact = f'last contact {session["silent_s"]:.1f} s ago'
    if session['silent_s'] < 0:
        contact = 'no contact yet'
    return f'entry {session["vm"]}: {session["lag"]} entries behind, {contact}'
