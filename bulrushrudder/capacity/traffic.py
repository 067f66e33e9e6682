"""Message flows of a node and of a role host at the target size."""

from bulrushrudder.capacity import flows
from bulrushrudder.capacity import samples
from bulrushrudder.capacity import target
from bulrushrudder.entry import control_client
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import log_messages
from bulrushrudder.protocol import messages
from bulrushrudder.state import servers
from bulrushrudder.state import sessions

FRESHNESS_ROUNDS_PER_S = 1.0 / control_client.FRESHNESS_INTERVAL_S
RENEWALS_PER_S = 1.0
# SetFloor commands per request, as benchmarks.limits counts them with
# 400 entries and 17,000 accounts.
SET_FLOORS_PER_REQUEST = 0.049


def node_flows():
    """Return the flows of a node that hosts no roles."""
    return (
        *_log_flows(),
        *_freshness_flows(),
        *_renewal_flows(),
        *_request_flows(_node_rate()),
    )


def role_host_flows():
    """Return the flows of one of the VMs reserved for roles."""
    return (
        *_log_flows(),
        *_freshness_flows(),
        *_request_flows(target.ROLE_HOST_REQUESTS_PER_S),
    )


def _node_rate():
    return target.NODE_REQUESTS_PER_S


def _entry_bytes(*commands):
    """Return the size of commands sent in one message each, in bytes."""
    return sum(
        flows.message_bytes(
            log_messages.Entries(10**7, (codec.encode(command),))
        )
        for command in commands
    )


def _log_flows():
    before = samples.document(2)
    change = samples.submission(before, samples.changed(before))
    opened = samples.session(123)
    closed = sessions.CloseSession(opened.owner)
    joined = servers.JoinServer(samples.server(123))
    left = servers.LeaveServer(joined.server.id, joined.server.incarnation)
    return (
        flows.Flow(
            'observer',
            'document changes',
            _entry_bytes(change, samples.promotion(2)),
            target.DOCUMENT_CHANGES_PER_S,
            'differences; implemented',
        ),
        flows.Flow(
            'observer',
            'document changes, busy hour',
            _entry_bytes(change, samples.promotion(2)),
            target.DOCUMENT_CHANGES_PER_S * (target.BUSY_HOUR_FACTOR - 1),
            'differences; implemented',
        ),
        flows.Flow(
            'observer',
            'VMs restarted or lost',
            _entry_bytes(closed, opened, left, joined),
            target.RESTARTS_PER_S,
            'differences; implemented',
        ),
        flows.Flow(
            'authority',
            'rows of client accounts',
            _entry_bytes(samples.set_floor()),
            target.REQUESTS_PER_S * SET_FLOORS_PER_REQUEST,
            'to every VM; planned: to role hosts only',
        ),
        flows.Flow(
            'register',
            'calls that run at most once',
            _entry_bytes(*samples.intent_commands()),
            target.INTENTS_PER_S,
            'to every VM; planned: on request only',
        ),
    )


def _freshness_flows():
    question, answer = samples.freshness_round()
    return (
        flows.Flow(
            'observer',
            'freshness',
            flows.message_bytes(question) + flows.message_bytes(answer),
            FRESHNESS_ROUNDS_PER_S,
            'one request for all routes; implemented',
        ),
    )


def _renewal_flows():
    announce = log_messages.Announce(
        codec.encode(servers.JoinServer(samples.server(123))), False
    )
    return (
        flows.Flow(
            'membership',
            'renewals of backend servers',
            flows.request_bytes(announce, messages.Acknowledged()),
            RENEWALS_PER_S * target.per_node(target.BACKEND_SERVERS),
            'whole announcements; planned: ids in batches',
        ),
    )


def _request_flows(requests_per_s):
    return (
        flows.Flow(
            'authority',
            'requests for tokens',
            flows.request_bytes(
                samples.ask_tokens(), samples.tokens_granted()
            ),
            requests_per_s,
            'one authority per account; implemented',
        ),
        flows.Flow(
            'authority',
            'refunds of tokens',
            flows.message_bytes(samples.refund_tokens()),
            requests_per_s,
            'one per request; planned: in batches',
        ),
        flows.Flow(
            'coordinator',
            'requests for places',
            flows.request_bytes(samples.ask_place(), samples.place_granted()),
            requests_per_s,
            'one coordinator per model; implemented',
        ),
        flows.Flow(
            'coordinator',
            'releases of places',
            flows.message_bytes(samples.release_place()),
            requests_per_s,
            'one per request; planned: in batches',
        ),
    )
