"""Mean speed of the servers of a pool."""

# Weight of a measurement among those of its server, once there are many;
# about ten dominate the estimate, which a busy server completes in one to
# five seconds.
EWMA_WEIGHT = 0.1


def measurement_weight(measured):
    """Return the weight of a new measurement of a server.

    The initial estimate counts as one measurement, so that a server whose
    speed differs from it is known after a few requests.

    :param measured: number of earlier measurements.
    """
    return max(EWMA_WEIGHT, 1.0 / (measured + 2))


class MeanSpeed:
    """Mean of the speeds of members, kept as they change."""

    def __init__(self):
        self._speeds_by_member = {}
        self._sum = 0.0

    def set(self, member, speed):
        """Set the speed of a member, adding it if it is new."""
        self._sum += speed - self._speeds_by_member.get(member, 0.0)
        self._speeds_by_member[member] = speed

    def remove(self, member):
        """Remove a member."""
        self._sum -= self._speeds_by_member.pop(member, 0.0)
        if not self._speeds_by_member:
            # Ends the accumulation of rounding errors.
            self._sum = 0.0

    @property
    def mean(self):
        """Return the mean speed, 0 without members."""
        count = len(self._speeds_by_member)
        return self._sum / count if count else 0.0
