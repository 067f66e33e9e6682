"""Linear fits of measurements at several sizes."""

import dataclasses
import statistics

MAX_RESIDUAL_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A line fitted to measurements.

    :param per_unit: growth per unit of size.
    :param base: value at size zero.
    :param residual: largest distance from the line, as a share of the
        largest measurement.
    """

    per_unit: float
    base: float
    residual: float

    @property
    def is_linear(self):
        """Return whether all measurements are close to the line."""
        return self.residual <= MAX_RESIDUAL_SHARE

    def predict(self, size):
        """Return the value of the line at a size."""
        return self.base + self.per_unit * size


def fit(sizes, values):
    """Return the least-squares line through at least three sizes."""
    line = statistics.linear_regression(sizes, values)
    largest = max(map(abs, values)) or 1.0
    distances = [
        abs(line.intercept + line.slope * size - value)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Slope(line.slope, line.intercept, max(distances) / largest)
