"""The fleet size that the design is made for, and its budgets."""

NODES = 400
BACKEND_SERVERS = 3800
REQUESTS_PER_S = 3200
ACCOUNTS = 17_000
MODELS = 31
ROLE_HOSTS = 15
CONTROL_MEMBERS = 5
DOCUMENT_CHANGES_PER_DAY = 12_000
RESTARTS_PER_DAY = 810 + 35
DAY_S = 86_400

NODE_CORE_SHARE = 0.045
NODE_MEMORY_BYTES = 128 * 1024 * 1024
NODE_BYTES_PER_S = 2048

# Changes in a busy hour, relative to the mean over a day.
BUSY_HOUR_FACTOR = 10
# One request in 100 is an at-most-once call, which is never repeated.
REQUESTS_PER_INTENT = 100
# TCP and IP headers of a packet with a single message.
PACKET_HEADER_BYTES = 40
FRAME_BYTES = 4

DOCUMENT_CHANGES_PER_S = DOCUMENT_CHANGES_PER_DAY / DAY_S
RESTARTS_PER_S = RESTARTS_PER_DAY / DAY_S
INTENTS_PER_S = REQUESTS_PER_S / REQUESTS_PER_INTENT
NODE_REQUESTS_PER_S = REQUESTS_PER_S / NODES
ROLE_HOST_REQUESTS_PER_S = REQUESTS_PER_S / ROLE_HOSTS


def per_node(fleet_total):
    """Return the mean per node of a total over the fleet."""
    return fleet_total / NODES
