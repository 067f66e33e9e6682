"""Model of the time between tokens as a function of running requests."""

DECAY_PER_REPORT = 0.9
TARGET_SHARE = 0.99
MIN_RUNNING_VARIANCE = 0.5


class StepModel:
    """Fits seconds between tokens as a line over running requests.

    Recent reports weigh more than older ones.
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
        """Return the average of recent reports, in seconds."""
        return self._mean_step_s

    def observe(self, running, step_s):
        """Add a report."""
        self._weight = self._weight * DECAY_PER_REPORT + 1.0
        part = 1.0 / self._weight
        self._mean_running += (running - self._mean_running) * part
        self._mean_step_s += (step_s - self._mean_step_s) * part
        squared = running * running - self._mean_square
        self._mean_square += squared * part
        self._mean_product += (running * step_s - self._mean_product) * part
        self._fit()

    def request_limit(self, between_tokens_s, places):
        """Return the number of requests that can run within a target.

        :param between_tokens_s: target between two tokens.
        :param places: upper bound, returned if there is no slope yet.
        """
        if self._slope_s <= 0:
            return places
        base_s = self._mean_step_s - self._slope_s * self._mean_running
        allowed = (between_tokens_s * TARGET_SHARE - base_s) / self._slope_s
        return max(1, min(places, int(allowed)))

    def _fit(self):
        """Refit the slope, unless recent reports vary too little."""
        variance = self._mean_square - self._mean_running**2
        if variance < MIN_RUNNING_VARIANCE:
            return
        covariance = (
            self._mean_product - self._mean_running * self._mean_step_s
        )
        self._slope_s = covariance / variance
