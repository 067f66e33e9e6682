"""Metrics of the control process."""

import enum

import aioprometheus


class SubmissionOutcome(enum.Enum):
    """Outcome of a submission or promotion."""

    ACCEPTED = 'accepted'
    REPEATED = 'repeated'
    REJECTED = 'rejected'
    INVALID = 'invalid'
    UNAVAILABLE = 'unavailable'


class ControlMetrics:
    """The metrics of one control process.

    :param tolerable_losses: function that returns how many more voters
        may be lost, or None if this process does not lead.
    :param cold_servers: function that returns the number of servers that
        are recorded as cold.
    :param evacuated_zones: function that returns the evacuated zones that
        this process knows.
    """

    def __init__(
        self,
        tolerable_losses=lambda: None,
        cold_servers=lambda: 0,
        evacuated_zones=frozenset,
    ):
        self._tolerable_losses = tolerable_losses
        self._cold_servers = cold_servers
        self._evacuated_zones = evacuated_zones
        self.registry = aioprometheus.Registry()
        self._submissions = aioprometheus.Counter(
            'bulrushrudder_submissions_total',
            'Submissions and promotions by environment and outcome.',
            registry=self.registry,
        )
        self._denied = aioprometheus.Counter(
            'bulrushrudder_operators_denied_total',
            'Calls to the operators listener without its secret.',
            registry=self.registry,
        )
        self._losses = aioprometheus.Gauge(
            'bulrushrudder_tolerable_losses',
            'Control processes that may be lost so that a quorum remains; '
            '-1 if this process does not lead.',
            registry=self.registry,
        )
        self._cold = aioprometheus.Gauge(
            'bulrushrudder_cold_servers',
            'Backend servers that count as cold by the log.',
            registry=self.registry,
        )
        self._zones = aioprometheus.Gauge(
            'bulrushrudder_evacuated_zones',
            'Availability zones whose backend servers get no requests.',
            registry=self.registry,
        )

    def count_submission(self, environment, outcome):
        """Count a submission or promotion.

        :param environment: a documents Environment.
        :param outcome: a SubmissionOutcome.
        """
        self._submissions.inc(
            {'environment': environment.value, 'outcome': outcome.value}
        )

    def count_denied(self):
        """Count a call that did not present the operators secret."""
        self._denied.inc({})

    def render(self, accept):
        """Return the content and headers of an exposition.

        :param accept: values of the Accept header.
        """
        losses = self._tolerable_losses()
        self._losses.set({}, -1 if losses is None else losses)
        self._cold.set({}, self._cold_servers())
        self._zones.set({}, len(self._evacuated_zones()))
        return aioprometheus.render(self.registry, accept)
