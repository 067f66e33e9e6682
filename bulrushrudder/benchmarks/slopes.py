"""Straight lines through measurements at several sizes."""

import dataclasses
import statistics

MAX_RESIDUAL_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measurements.

    :param per_unit: growth for each unit of size.
    :param base: value at size zero.
    :param residual: largest distance from the line, as a share of the
        largest measurement.
    """

    per_unit: float
    base: float
    residual: float

    @property
    def straight(self):
        """Return whether a straight line fits the measurements."""
        return self.residual <= MAX_RESIDUAL_SHARE

    def at(self, size):
        """Return the value that the line gives for a size."""
        return self.base + self.per_unit * size


def fit(sizes, values):
    """Return the line of least squares through at least three sizes."""
    line = statistics.linear_regression(sizes, values)
    largest = max(map(abs, values)) or 1.0
    distances = [
        abs(line.intercept + line.slope * size - value)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Slope(line.slope, line.intercept, max(distances) / largest)
