"""How the time between tokens grows with the requests of a server."""

DECAY_PER_REPORT = 0.9
TARGET_SHARE = 0.99
MIN_RUNNING_VARIANCE = 0.5


class StepModel:
    """Fits seconds between tokens as a line over running requests.

    Late reports weigh more than early ones.
    """

    def __init__(self):
        self._weight = 0.0
        self._mean_running = 0.0
        self._mean_step_s = 0.0
        self._mean_square = 0.0
        self._mean_product = 0.0
        self._slope_s = 0.0

    @property
    def mean_step_s(self):
        """Return the average of late reports, in seconds."""
        return self._mean_step_s

    def observe(self, running, step_s):
        """Take in a report."""
        self._weight = self._weight * DECAY_PER_REPORT + 1.0
        part = 1.0 / self._weight
        self._mean_running += (running - self._mean_running) * part
        self._mean_step_s += (step_s - self._mean_step_s) * part
        squared = running * running - self._mean_square
        self._mean_square += squared * part
        self._mean_product += (running * step_s - self._mean_product) * part
        self._fit()

    def request_limit(self, between_tokens_s, places):
        """Return how many requests a target between tokens bears.

        :param places: the answer where reports do not tell.
        """
        if self._slope_s <= 0:
            return places
        base_s = self._mean_step_s - self._slope_s * self._mean_running
        allowed = (between_tokens_s * TARGET_SHARE - base_s) / self._slope_s
        return max(1, min(places, int(allowed)))

    def _fit(self):
        """Fit the slope anew, unless late reports are all alike."""
        variance = self._mean_square - self._mean_running**2
        if variance < MIN_RUNNING_VARIANCE:
            return
        covariance = (
            self._mean_product - self._mean_running * self._mean_step_s
        )
        self._slope_s = covariance / variance
