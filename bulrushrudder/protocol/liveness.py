"""Decides when a link is silent and when to ask whether it is alive."""

import enum

# Between control processes, whose disks may hold them up for a second.
HEARTBEAT_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 2.0
# Between entries, where a request waits for the answer: a frozen VM is
# found before the request's target has passed.
SHORT_HEARTBEAT_INTERVAL_S = 0.2
SHORT_SILENCE_TIMEOUT_S = 0.7


class Action(enum.Enum):
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
        self,
        monitor_when_idle,
        now_s,
        heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
        silence_timeout_s=SILENCE_TIMEOUT_S,
    ):
        self._heartbeat_interval_s = heartbeat_interval_s
        self._silence_timeout_s = silence_timeout_s
        self._monitor_when_idle = monitor_when_idle
        self._last_message_s = now_s
        self._monitored_since_s = None

    def record_message(self, now_s):
        """Take note of a message from the peer."""
        self._last_message_s = now_s

    def check(self, has_pending_requests, now_s):
        """Return the Verdict at a time.

        :param waiting: whether questions to the peer are open.
        """
        if not (self._monitor_when_idle or has_pending_requests):
            self._monitored_since_s = None
            return Action.WAIT
        if self._monitored_since_s is None:
            self._monitored_since_s = now_s
        silent_for_s = now_s - max(
            self._last_message_s, self._monitored_since_s
        )
        if silent_for_s > self._silence_timeout_s:
            return Action.CLOSE
        if silent_for_s >= self._heartbeat_interval_s:
            return Action.ASK
        return Action.WAIT
