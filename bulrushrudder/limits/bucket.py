"""A token bucket on a monotonic clock."""


class Bucket:
    """Tokens of one client account.

    :param rate: tokens a second.
    :param burst: tokens that it holds at most.
    :param level: tokens at the start.
    :param now_s: monotonic seconds at the start.
    """

    def __init__(self, rate, burst, level, now_s):
        self.rate = rate
        self.burst = burst
        self._level = min(level, burst)
        self._then_s = now_s

    def level(self, now_s):
        """Return the tokens that can be taken now."""
        passed_s = max(0.0, now_s - self._then_s)
        self._level = min(self.burst, self._level + passed_s * self.rate)
        self._then_s = max(self._then_s, now_s)
        return self._level

    def take(self, tokens, now_s):
        """Take tokens if they are there.

        :returns: whether they were.
        """
        if self.level(now_s) < tokens:
            return False
        self._level -= tokens
        return True

    def put_back(self, tokens, now_s):
        """Return tokens that were not used."""
        self._level = min(self.burst, self.level(now_s) + tokens)

    def change(self, rate, burst, now_s):
        """Set other limits; a lower burst binds at once."""
        self._level = min(self.level(now_s), burst)
        self.rate = rate
        self.burst = burst

    def wait_s(self, tokens, now_s):
        """Return seconds until so many tokens are there."""
        missing = tokens - self.level(now_s)
        return max(0.0, missing / self.rate)
