"""Builders of VMs and backend servers."""

from bulrushrudder.core import ids
from bulrushrudder.state import servers


def owner(vm='vm1', incarnation=1):
    """Return the Owner that identifies one run of a process."""
    return ids.Owner(ids.VmId(vm), incarnation)


def server(server_id='decode-1', kind='decode', **changes):
    """Return a backend server that serves the model drafting."""
    fields = {
        'id': ids.ServerId(server_id),
        'incarnation': 1,
        'kind': kind,
        'host': '127.0.0.1',
        'port': 9000,
        'zone': ids.Zone('a'),
        'serves': ('drafting',),
        'places': 20,
        'memory_tokens': 400000,
        'link_tokens_per_s': 1e6,
        'checks_fencing': True,
    }
    return servers.BackendServer(**{**fields, **changes})
