"""Mean speed of the servers of a pool."""


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
