"""Metrics of the entry process."""

import aioprometheus
from aioprometheus import histogram

from bulrushrudder.metrics import clients as metrics_clients
from bulrushrudder.metrics import labels
from bulrushrudder.metrics import latency_recorder

SECONDS_BUCKETS = (
    0.005,
    0.01,
    0.02,
    0.04,
    0.061,
    0.1,
    0.25,
    0.5,
    1.1,
    2.5,
    5.0,
    10.0,
    30.0,
    120.0,
)
MAX_ROUTE_LABEL_SETS = 200
MAX_ROUTE_ACCOUNT_LABEL_SETS = 500
MAX_RANK_LABEL_SETS = 20


class EntryMetrics:
    """The metrics of one entry process, with limited label sets."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self.clients = metrics_clients.ClientMetrics(self.registry)
        self._route_labels = labels.BoundedLabels(MAX_ROUTE_LABEL_SETS)
        self._rank_labels = labels.BoundedLabels(MAX_RANK_LABEL_SETS)
        self._route_account_labels = labels.BoundedLabels(
            MAX_ROUTE_ACCOUNT_LABEL_SETS
        )
        self.refusals = self._counter(
            'bulrushrudder_refusals_total', 'Refusals by reason.'
        )
        self.retries = self._counter(
            'bulrushrudder_retries_total', 'Retries by reason.'
        )
        self.answers = self._counter(
            'bulrushrudder_answers_total', 'Whole answers by route.'
        )
        self.dropped = self._counter(
            'bulrushrudder_dropped_answers_total',
            'Answers of engines that came late, crossed or twice.',
        )
        self.cancel_retries = self._counter(
            'bulrushrudder_cancel_retries_total',
            'Cancellations that an engine did not confirm.',
        )
        self.orphan_orders = self._counter(
            'bulrushrudder_orphan_orders_total',
            'Orders to free all attempts of an entry that is gone.',
        )
        self.relayed_connections = self._counter(
            'bulrushrudder_relayed_connections_total',
            'Connections to servers that were opened through other VMs.',
        )
        self.tunnels = self._counter(
            'bulrushrudder_tunnels_total',
            'Connections to servers that were opened for other VMs.',
        )
        self.crossings = self._counter(
            'bulrushrudder_cross_zone_requests_total',
            'Legs of requests that went to another availability zone, by '
            'traffic and reason.',
        )
        self.crossing_bytes = self._counter(
            'bulrushrudder_cross_zone_bytes_total',
            'Bytes between availability zones by traffic and reason; those '
            'of prompts and KV caches are estimated from their tokens.',
        )
        self.held_back = self._counter(
            'bulrushrudder_cold_calls_held_back_total',
            'Requests that were not sent to a server because it is cold.',
        )
        self.lost_paths = aioprometheus.Gauge(
            'bulrushrudder_lost_paths',
            'Servers that this VM does not reach directly, though others do.',
            registry=self.registry,
        )
        self.waiting = aioprometheus.Gauge(
            'bulrushrudder_waiting_requests',
            'Requests that wait for servers, by rank.',
            registry=self.registry,
        )
        self.placements = self._counter(
            'bulrushrudder_placements_total',
            'Requests that were granted or refused servers, by rank.',
        )
        self.first_token = self._histogram(
            'bulrushrudder_first_token_seconds',
            'Seconds to the first token by route and client account.',
        )
        self.between_tokens = self._histogram(
            'bulrushrudder_between_tokens_seconds',
            'Seconds between tokens by route and client account.',
        )
        self.calls = self._histogram(
            'bulrushrudder_call_seconds',
            'Seconds that servers of plain services took, by service.',
        )

    def observe_call(self, service, seconds):
        """Record the duration of a call to a plain service."""
        bounded_labels = self._route_labels.limit(route=service)
        _get_histogram(
            self.calls, {'service': bounded_labels['route']}
        ).observe(seconds)

    def count_refusal(self, reason, route):
        """Count a refusal by its Reason."""
        bounded_labels = self._route_labels.limit(route=route)
        self.refusals.inc({'reason': reason.name, **bounded_labels})

    def count_retry(self, reason):
        """Count a retry by its Reason."""
        self.retries.inc({'reason': reason.name})

    def count_answer(self, route):
        """Count a complete answer."""
        self.answers.inc(self._route_labels.limit(route=route))

    def count_dropped_event(self, kind):
        """Count an engine's answer that was late, superseded or a duplicate.

        :param kind: name of the event's class.
        """
        self.dropped.inc({'kind': kind})

    def count_cancel_retry(self):
        """Count a cancellation that an engine did not confirm."""
        self.cancel_retries.inc({})

    def count_orphan_order(self):
        """Count an order to free all attempts of a lost entry process."""
        self.orphan_orders.inc({})

    def count_relayed_connection(self):
        """Count a connection that was opened through another VM."""
        self.relayed_connections.inc({})

    def count_tunnel(self):
        """Count a connection that was opened for another VM."""
        self.tunnels.inc({})

    def count_crossing(self, traffic, reason):
        """Count a leg of a request that goes to another zone.

        :param traffic: prompt, cache, answer, call or tunnel.
        :param reason: why it leaves its zone.
        """
        self.crossings.inc({'traffic': traffic, 'reason': reason})

    def count_crossing_bytes(self, traffic, reason, size):
        """Count bytes that go to another zone; see count_crossing."""
        self.crossing_bytes.add({'traffic': traffic, 'reason': reason}, size)

    def count_held_back(self):
        """Count a request that was not sent to a cold server."""
        self.held_back.inc({})

    def set_lost_paths(self, number):
        """Set the number of servers that are not reached directly."""
        self.lost_paths.set({}, number)

    def set_waiting(self, rank, number):
        """Set the number of requests of a rank that wait for servers."""
        self.waiting.set(self._rank_labels.limit(rank=str(rank)), number)

    def count_placements(self, rank, outcome, number):
        """Count requests that got servers or did not.

        :param outcome: granted or refused.
        """
        bounded_labels = self._rank_labels.limit(rank=str(rank))
        self.placements.add({'outcome': outcome, **bounded_labels}, number)

    def latency_recorder(self, route, account, started_s):
        """Return a recorder for the token latencies of one request.

        :param account: id of the client account; None on an open route.
        :param started_s: monotonic seconds at which the request arrived.
        """
        bounded_labels = self._route_account_labels.limit(
            route=route, account=account or 'none'
        )
        return latency_recorder.LatencyRecorder(
            _get_histogram(self.first_token, bounded_labels),
            _get_histogram(self.between_tokens, bounded_labels),
            started_s,
        )

    def render(self, accept):
        """Return the content and headers of an exposition.

        :param accept: values of the Accept header.
        """
        self.clients.update()
        return aioprometheus.render(self.registry, accept)

    def _counter(self, name, text):
        return aioprometheus.Counter(name, text, registry=self.registry)

    def _histogram(self, name, text):
        return aioprometheus.Histogram(
            name, text, buckets=SECONDS_BUCKETS, registry=self.registry
        )


def _get_histogram(collector, label_set):
    """Return the histogram for a label set; create it if missing."""
    try:
        return collector.get_value(label_set)
    except KeyError:
        created = histogram.Histogram(*collector.upper_bounds)
        collector.set_value(label_set, created)
        return created
