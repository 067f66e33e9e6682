"""Follows the output of an attempt to tell what its start has shown."""

# A server that crashes sooner after the first output may have crashed
# because of it.
STEADY_OUTPUT_S = 0.1


class OutputProgress:
    """When the output of the latest attempt of a request began.

    :ivar confirmed: whether an attempt has had output for long enough to
        show that its start crashes no server.
    """

    def __init__(self):
        self._began_s = None
        self.confirmed = False

    def start_attempt(self):
        """Start an attempt, which has no output yet."""
        self._began_s = None

    def record(self, now_s):
        """Record output.

        :param now_s: monotonic seconds.
        :returns: whether this confirms the request for the first time.
        """
        if self._began_s is None:
            self._began_s = now_s
        if now_s - self._began_s < STEADY_OUTPUT_S:
            return False
        return self.confirm()

    def confirm(self):
        """Confirm the request.

        :returns: whether it was not confirmed before.
        """
        newly_confirmed = not self.confirmed
        self.confirmed = True
        return newly_confirmed
