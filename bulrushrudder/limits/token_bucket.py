"""A token bucket that lends slices of its tokens."""

import dataclasses

SLICE_LIFETIME_S = 5.0
# Longer than the lifetime, so that the holder has stopped spending.
SLICE_RECLAIM_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class OutstandingSlice:
    """A slice whose tokens another process may still spend.

    :param expires_s: monotonic seconds after which the tokens can no
        longer be spent.
    """

    tokens: float
    expires_s: float


class TokenBucket:
    """Token bucket of an account.

    The level and the outstanding slices together never exceed the
    burst.

    :param rate: refill in tokens a second.
    :param burst: capacity in tokens.
    :param level: initial level in tokens.
    :param starts_s: monotonic seconds at which the refill starts.
    """

    def __init__(self, rate, burst, level, starts_s):
        self.rate = rate
        self.burst = burst
        self._level = level
        self._refilled_s = starts_s
        self._slices_by_key = {}

    @property
    def outstanding(self):
        """Return the tokens in outstanding slices."""
        return sum(lent.tokens for lent in self._slices_by_key.values())

    def level(self, now_s):
        """Expire slices, refill, and return the level in tokens."""
        expired = sorted(
            (lent.expires_s, key)
            for key, lent in self._slices_by_key.items()
            if lent.expires_s <= now_s
        )
        for expires_s, key in expired:
            self._refill(expires_s)
            del self._slices_by_key[key]
        self._refill(now_s)
        return self._level

    def take(self, tokens):
        """Take tokens without a check of the level."""
        self._level -= tokens

    def lend(self, key, tokens, now_s):
        """Take tokens from the level for a new slice."""
        self._level -= tokens
        self.record_slice(key, tokens, now_s)

    def record_slice(self, key, tokens, now_s):
        """Record a slice that is no longer part of the level."""
        self._slices_by_key[key] = OutstandingSlice(
            tokens, now_s + SLICE_RECLAIM_S
        )

    def close(self, key, now_s):
        """Remove a slice that its process has given up.

        :returns: whether the slice was still outstanding.
        """
        self.level(now_s)
        return self._slices_by_key.pop(key, None) is not None

    def skip_refill(self, from_s, until_s):
        """Exclude a time span from the refill."""
        self.level(from_s)
        self._refilled_s = max(self._refilled_s, until_s)

    def refund(self, tokens, now_s):
        """Add unused tokens to the level, up to the burst."""
        level = self.level(now_s)
        headroom = max(0.0, self.burst - self.outstanding - level)
        self._level = level + min(tokens, headroom)

    def set_limits(self, rate, burst, now_s):
        """Set new limits; a lower burst applies at once."""
        level = self.level(now_s)
        self.rate = rate
        self.burst = burst
        self._level = min(level, max(0.0, burst - self.outstanding))

    def wait_s(self, tokens, now_s):
        """Return the seconds until the level reaches a number of tokens."""
        missing = tokens - self.level(now_s)
        wait_s = max(0.0, missing / self.rate)
        wait_s += max(0.0, self._refilled_s - now_s)
        if tokens <= self.burst - self.outstanding:
            return wait_s
        expiries_s = [lent.expires_s for lent in self._slices_by_key.values()]
        return max(wait_s, max(expiries_s, default=now_s) - now_s)

    def _refill(self, now_s):
        passed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = max(self._refilled_s, now_s)
        max_level = self.burst - self.outstanding
        refilled = min(max_level, self._level + passed_s * self.rate)
        self._level = max(self._level, refilled)
