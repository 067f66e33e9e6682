"""Shares of the traffic and memory budgets of a node."""

import types

from bulrushrudder.capacity import target

BYTES_PER_S_BY_ROLE = types.MappingProxyType(
    {
        'observer': 0.45 * target.NODE_BYTES_PER_S,
        'authority': 0.2 * target.NODE_BYTES_PER_S,
        'coordinator': 0.2 * target.NODE_BYTES_PER_S,
        'membership': 0.1 * target.NODE_BYTES_PER_S,
        'register': 0.05 * target.NODE_BYTES_PER_S,
    }
)
# At least half of the memory is left for the process and its requests.
MEMORY_BYTES_BY_TABLE = types.MappingProxyType(
    {
        'accounts': target.NODE_MEMORY_BYTES // 4,
        'servers': target.NODE_MEMORY_BYTES // 16,
        'vms': target.NODE_MEMORY_BYTES // 64,
        'register': target.NODE_MEMORY_BYTES // 16,
    }
)


def traffic_by_role(flow_list):
    """Return the sum of the flows of each role, in bytes per second."""
    totals = dict.fromkeys(BYTES_PER_S_BY_ROLE, 0.0)
    for flow in flow_list:
        totals[flow.role] += flow.bytes_per_s
    return totals
