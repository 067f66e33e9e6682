"""Builders of placement events, and filters of placement actions."""

from bulrushrudder.core import ids
from bulrushrudder.placement import actions
from bulrushrudder.placement import events
from bulrushrudder.tests.builders import fleet


def hold_id(number=1, vm='vm1', incarnation=1):
    """Return the id of a hold."""
    return events.HoldId(fleet.owner(vm, incarnation), number)


def placement_request(number=1, vm='vm1', incarnation=1, **changes):
    """Return an interactive request for placement."""
    fields = {
        'call': number,
        'hold': hold_id(number, vm, incarnation),
        'account': 'acme',
        'weight': 1.0,
        'zone': ids.Zone('a'),
        'prompt_tokens': 1000,
        'output_tokens': 200,
        'interactive': True,
        'patience_s': 5.0,
        'first_token_s': 5.0,
        'between_tokens_s': 0.1,
    }
    return events.PlacementRequested(**{**fields, **changes})


def servers_changed(prefills=1, decodes=1, **changes):
    """Return the event of servers that alternate between zones a and b."""
    all_servers = []
    for kind, count in (('prefill', prefills), ('decode', decodes)):
        for number in range(count):
            all_servers.append(
                fleet.server(
                    f'{kind}-{number}',
                    kind,
                    zone=ids.Zone('ab'[number % 2]),
                    **changes,
                )
            )
    return events.ServersChanged(tuple(all_servers))


def grants(decided):
    """Return the grants among actions."""
    return [a for a in decided if isinstance(a, actions.Grant)]


def refusals(decided):
    """Return the refusals among actions."""
    return [a for a in decided if isinstance(a, actions.Refuse)]
