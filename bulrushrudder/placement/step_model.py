"""How the time between tokens grows with the requests of a server."""

FORGETTING = 0.9
MARGIN = 0.99
MIN_SPREAD = 0.5


class StepModel:
    """Fits seconds between tokens as a line over running requests.

    Late reports weigh more than early ones.
    """

    def __init__(self):
        self._weight = 0.0
        self._running = 0.0
        self._step_s = 0.0
        self._running_squared = 0.0
        self._product = 0.0
        self._slope_s = 0.0

    @property
    def expected_s(self):
        """Return the average of late reports, in seconds."""
        return self._step_s

    def observe(self, running, step_s):
        """Take in a report."""
        self._weight = self._weight * FORGETTING + 1.0
        part = 1.0 / self._weight
        self._running += (running - self._running) * part
        self._step_s += (step_s - self._step_s) * part
        squared = running * running - self._running_squared
        self._running_squared += squared * part
        self._product += (running * step_s - self._product) * part
        self._fit()

    def bound(self, between_tokens_s, places):
        """Return how many requests a target between tokens bears.

        :param places: the answer where reports do not tell.
        """
        if self._slope_s <= 0:
            return places
        base_s = self._step_s - self._slope_s * self._running
        bearable = (between_tokens_s * MARGIN - base_s) / self._slope_s
        return max(1, min(places, int(bearable)))

    def _fit(self):
        """Fit the slope anew, unless late reports are all alike."""
        spread = self._running_squared - self._running**2
        if spread < MIN_SPREAD:
            return
        shared = self._product - self._running * self._step_s
        self._slope_s = shared / spread
