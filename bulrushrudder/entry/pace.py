"""Measures how fast the servers of a request are."""

from bulrushrudder.lifecycle import events

# Fewer tokens than these tell too little of the time between them.
LEAST_TOKENS = 48


class Pace:
    """Times of one attempt after the other.

    :param event_tokens: output tokens in one event of the answer.
    :ivar prefill_s: seconds that the last prefill took, 0 if unknown.
    :ivar token_s: seconds between tokens of the last decode, 0 if
        unknown.
    """

    def __init__(self, event_tokens):
        self.prefill_s = 0.0
        self.token_s = 0.0
        self._event_tokens = event_tokens
        self._placed_s = None
        self._first_s = None
        self._first_index = 0

    def event(self, event, now_s):
        """Take an event of the request in."""
        match event:
            case events.PlaceGranted():
                self._placed_s = now_s
            case events.PrefillDone():
                self.prefill_s = now_s - self._placed_s
            case events.TransferDone():
                self._first_s = None
            case events.TokenArrived(index=index):
                self._token(index, now_s)

    def _token(self, index, now_s):
        if self._first_s is None:
            self._first_s = now_s
            self._first_index = index
            return
        tokens = (index - self._first_index) * self._event_tokens
        if tokens >= LEAST_TOKENS:
            self.token_s = (now_s - self._first_s) / tokens
