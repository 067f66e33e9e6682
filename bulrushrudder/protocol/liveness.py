"""Decides when a link is silent and when to ask whether it is alive."""

import enum

# Between control processes, whose disks may hold them up for a second.
HEARTBEAT_S = 0.5
SILENCE_S = 2.0
# Between entries, where a request waits for the answer: a frozen VM is
# found before the request's target has passed.
EAGER_HEARTBEAT_S = 0.2
EAGER_SILENCE_S = 0.7


class Verdict(enum.Enum):
    """What a link does about its silence."""

    WAIT = 'wait'
    ASK = 'ask'
    CLOSE = 'close'


class Liveness:
    """What is known of a link's life.

    An idle link costs nothing: the peer is asked only while somebody
    waits for it.

    :param always: whether somebody waits for the peer all the time.
    :param now_s: monotonic seconds.
    :param heartbeat_s: seconds of silence after which the peer is asked.
    :param silence_s: seconds of silence after which the link is closed.
    """

    def __init__(
        self, always, now_s, heartbeat_s=HEARTBEAT_S, silence_s=SILENCE_S
    ):
        self._heartbeat_s = heartbeat_s
        self._silence_s = silence_s
        self._always = always
        self._heard_s = now_s
        self._waiting_since_s = None

    def heard(self, now_s):
        """Take note of a message from the peer."""
        self._heard_s = now_s

    def check(self, waiting, now_s):
        """Return the Verdict at a time.

        :param waiting: whether questions to the peer are open.
        """
        if not (self._always or waiting):
            self._waiting_since_s = None
            return Verdict.WAIT
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        quiet_s = now_s - max(self._heard_s, self._waiting_since_s)
        if quiet_s > self._silence_s:
            return Verdict.CLOSE
        if quiet_s >= self._heartbeat_s:
            return Verdict.ASK
        return Verdict.WAIT
