"""Decides when to send a heartbeat on a silent link and when to close it."""

import enum

# Between control processes: slow disks can block one for a second.
HEARTBEAT_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 2.0
# From entry processes, where callers wait for the response: a frozen VM
# is detected before the target of a caller's request has passed.
SHORT_HEARTBEAT_INTERVAL_S = 0.2
SHORT_SILENCE_TIMEOUT_S = 0.7


class Action(enum.Enum):
    """What to do on a link that may be silent."""

    WAIT = 'wait'
    ASK = 'ask'
    CLOSE = 'close'


class Liveness:
    """Liveness check of one link.

    An idle link carries no heartbeats unless it is monitored when idle.

    :param monitor_when_idle: whether to monitor the peer also while no
        request is pending.
    :param now_s: monotonic seconds.
    :param heartbeat_interval_s: seconds of silence after which a
        heartbeat is sent.
    :param silence_timeout_s: seconds of silence after which the link is
        closed.
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
        """Record that a message of the peer arrived."""
        self._last_message_s = now_s

    def check(self, has_pending_requests, now_s):
        """Return the Action to take now.

        :param has_pending_requests: whether requests to the peer are
            pending.
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
