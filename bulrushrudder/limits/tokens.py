"""A token bucket of which a part may stand out in slices."""

import dataclasses

SLICE_LIFETIME_S = 5.0
SLICE_RECLAIM_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class OutstandingSlice:
    """Tokens of a slice that may still be spent elsewhere.

    :param expires_s: monotonic seconds after which they are surely not.
    """

    tokens: float
    expires_s: float


class Tokens:
    """Level of an account; level and slices never exceed its burst.

    :param level: tokens at the start.
    :param starts_s: monotonic seconds from which refill counts.
    """

    def __init__(self, rate, burst, level, starts_s):
        self.rate = rate
        self.burst = burst
        self._level = level
        self._refilled_s = starts_s
        self._slices_by_key = {}

    @property
    def lent(self):
        """Return the tokens that may stand out in slices."""
        return sum(lent.tokens for lent in self._slices_by_key.values())

    def level(self, now_s):
        """Return the tokens that can be granted now."""
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
        """Take tokens; the caller has checked the level."""
        self._level -= tokens

    def lend(self, key, tokens, now_s):
        """Take tokens for a slice that is spent elsewhere."""
        self._level -= tokens
        self.record_slice(key, tokens, now_s)

    def record_slice(self, key, tokens, now_s):
        """Count a slice that was taken from the level before."""
        self._slices_by_key[key] = OutstandingSlice(
            tokens, now_s + SLICE_RECLAIM_S
        )

    def close(self, key, now_s):
        """Take note that nothing more is spent from a slice.

        :returns: whether the slice could still be spent.
        """
        self.level(now_s)
        return self._slices_by_key.pop(key, None) is not None

    def skip_refill(self, from_s, until_s):
        """Credit no refill for a span of time."""
        self.level(from_s)
        self._refilled_s = max(self._refilled_s, until_s)

    def refund(self, tokens, now_s):
        """Take tokens back that were not used."""
        level = self.level(now_s)
        headroom = max(0.0, self.burst - self.lent - level)
        self._level = level + min(tokens, headroom)

    def set_limits(self, rate, burst, now_s):
        """Set other limits; a lower burst binds at once."""
        level = self.level(now_s)
        self.rate = rate
        self.burst = burst
        self._level = min(level, max(0.0, burst - self.lent))

    def wait_s(self, tokens, now_s):
        """Return seconds until so many tokens are there."""
        missing = tokens - self.level(now_s)
        wait_s = max(0.0, missing / self.rate)
        wait_s += max(0.0, self._refilled_s - now_s)
        if tokens <= self.burst - self.lent:
            return wait_s
        expiries_s = [lent.expires_s for lent in self._slices_by_key.values()]
        return max(wait_s, max(expiries_s, default=now_s) - now_s)

    def _refill(self, now_s):
        passed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = max(self._refilled_s, now_s)
        max_level = self.burst - self.lent
        refilled = min(max_level, self._level + passed_s * self.rate)
        self._level = max(self._level, refilled)
