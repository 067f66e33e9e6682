"""The output of a request, kept within what the request allows."""

# Events that carry no token, such as a last one with figures.
MAX_EXTRA_EVENTS = 16
# For requests that do not state their output tokens.
MAX_UNSTATED_TOKENS = 16 * 1024
MAX_BYTES_PER_TOKEN = 256
MAX_EXTRA_BYTES = 64 * 1024


class Output:
    """The output so far, which later attempts continue.

    A server that sends more than the request allows sends no answer; its
    bytes are not kept.

    :param max_tokens: output tokens that the request allows; 0 if unknown.
    """

    def __init__(self, max_tokens):
        tokens = max_tokens or MAX_UNSTATED_TOKENS
        self._max_events = tokens + MAX_EXTRA_EVENTS
        self._max_bytes = tokens * MAX_BYTES_PER_TOKEN + MAX_EXTRA_BYTES
        self._texts = []
        self._bytes = 0

    def __len__(self):
        return len(self._texts)

    def texts(self):
        """Return the texts of all events, in order."""
        return tuple(self._texts)

    def add(self, text):
        """Add the text of an event, if the request allows it.

        :returns: whether it was added.
        """
        size = self._bytes + len(text)
        if len(self._texts) >= self._max_events or size > self._max_bytes:
            return False
        self._texts.append(text)
        self._bytes = size
        return True
