"""Builders of messages of the platform's clients, runners and operator."""

import copy
import json

ROUTE = {
    'name': 'r-1',
    'host': 'one.example',
    'path_prefix': '/drafts/',
    'route_type': 'streaming',
    'timeout_ms': 14000,
    'target_latency_ms': 900,
    'priority': 1,
    'service': 'engines',
    'max_attempts': 2,
    'public': False,
    'sticky': True,
    'resumable': True,
    'target_itl_ms': 300,
}
ENGINE = {
    'slots': 64,
    'kv_capacity': 37952,
    'kv_bytes': 163840,
    'link_mbps': 1600000.0,
    'stride': 12,
    'most': 12,
    'kv_retention_s': 0.5,
    'switch_s': 6.0,
}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {
            'name': 'engines',
            'health_path': '/healthz',
            'max_connections': 370,
            'protocol': 'h1',
            'tls': False,
            'engine': ENGINE,
        },
        {
            'name': 'portal',
            'health_path': '/healthz',
            'max_connections': 110,
            'protocol': 'h1',
            'tls': False,
        },
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [
        {
            'name': 'acme',
            'api_keys': ['acme-key', 'acme-other-key'],
            'priority': 1,
            'unit': 'tokens',
            'uncached_tokens': 200,
            'rate_per_s': 36000,
            'burst': 36000,
        }
    ],
}
HEARTBEAT = {
    'service': 'engines',
    'address': '10.128.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'stage': 'decode',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'sequence': 4,
    'born': 1700000000000,
}
CLIENT_HEADERS = (
    ('Host', 'one.example'),
    ('Attempt-Id', '9c41d07be2a35f68'),
    ('Model', 'm'),
    ('Token-Usage', '1460,80'),
    ('Length-Hint', '70'),
    ('Prompt-Prefix', '5c1e07a2:800,91bd3f06:410,e4402b7d:250'),
    ('Deadline-Ms', '14000'),
    ('Authorization', 'Bearer acme-key'),
)


def configuration():
    """Return a copy of the configuration that tests can modify."""
    return copy.deepcopy(CONFIGURATION)


def encoded(value):
    """Return a value as JSON in bytes."""
    return json.dumps(value).encode()


def heartbeat(**changes):
    """Return a heartbeat as bytes.

    :param changes: fields that differ from HEARTBEAT.
    """
    return encoded({**HEARTBEAT, **changes})
