"""Measured speeds of backend servers, compared with their pool."""

import math

# Weight of a measurement after many others: about ten dominate a speed,
# which a busy server completes in one to five seconds.
EWMA_WEIGHT = 0.1
# Servers whose times are this close to the mean of the pool count as
# equally fast: about ten measurements dominate a speed, and the times of
# single requests spread by more than half of that.
EQUAL_SPEED_SHARE = 0.2
# Further candidates of a zone while its servers differ in speed, so that
# a fast one is found behind slow ones that are emptier or free earlier.
UNEVEN_CANDIDATES = 4
# A speed that has not been measured for this time counts as the mean of
# the pool; a slow server that gets nothing would stay slow otherwise.
STALE_AFTER_S = 10.0


def weight(measurements):
    """Return the weight of the next measurement of a speed.

    The assumed speed counts as one measurement, so that the first ones
    replace it at once, and later ones only adjust it.

    :param measurements: number of measurements so far.
    """
    return max(EWMA_WEIGHT, 1.0 / (measurements + 2))


def harmonic_mean(values):
    """Return the harmonic mean of times, 0 if there are none."""
    inverses = [1.0 / value for value in values if value > 0.0]
    return len(inverses) / math.fsum(inverses) if inverses else 0.0


def slowness(time_s, mean_s):
    """Return the factor of the pool's mean time that a server takes.

    :param time_s: measured seconds of the server.
    :param mean_s: mean of the measured servers of the pool, 0 if unknown.
    """
    if mean_s <= 0.0:
        return 1.0
    factor = time_s / mean_s
    if abs(factor - 1.0) <= EQUAL_SPEED_SHARE:
        return 1.0
    return factor
