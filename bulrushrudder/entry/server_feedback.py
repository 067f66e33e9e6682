"""Measures the backend servers of a request for their coordinator."""

from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import events
from bulrushrudder.lifecycle import paths
from bulrushrudder.placement import events as place_events

# A healthy decode server produces its first token within this time, even
# behind a KV cache transfer and the prompt of another request.
FIRST_TOKEN_TIMEOUT_S = 1.0
_FAILURE_REASONS = frozenset(
    {
        outcomes.Reason.BACKEND_FAILED,
        outcomes.Reason.BACKEND_SILENT,
        outcomes.Reason.BACKEND_UNREACHABLE,
    }
)
# A prefill server that is changing its kind rejects all calls as full. It
# is never full otherwise, as the coordinator books its prefills one after
# the other.
_PREFILL_FAILURE_REASONS = _FAILURE_REASONS | {outcomes.Reason.BACKEND_FULL}
# Minimum sample for the time between tokens; fewer give a poor estimate.
MIN_MEASURED_TOKENS = 48


class ServerFeedback:
    """Measurements of the latest attempt of a request.

    A server whose path is lost is not measured: the way to it takes time
    that its other callers do not see.

    :param event_tokens: output tokens in one event of the answer.
    :param doubts: function of a server id that returns whether a lost
        path can explain failures and times.
    :ivar prefill_s: duration of the last prefill in seconds, 0 if
        unknown.
    :ivar token_s: mean seconds between tokens of the last decode, 0 if
        unknown.
    :ivar verdict: the Verdict on the decode server of the last place.
    :ivar prefill_failed: whether the prefill server of the last place
        rejected or failed the prefill.
    """

    def __init__(self, event_tokens, doubts=lambda server_id: False):
        self._doubts = doubts
        self.prefill_s = 0.0
        self.token_s = 0.0
        self._event_tokens = event_tokens
        self.verdict = place_events.Verdict.UNKNOWN
        self.prefill_failed = False
        self._place_granted_s = None
        self._prefill_server = None
        self._decode_server = None
        self._decode_started_s = None
        self._first_token_s = None
        self._first_index = 0
        self._answers_relayed = False

    def event(self, event, now_s):
        """Update the measurements from an event of the request."""
        match event:
            case events.PlaceGranted():
                self._place_granted_s = now_s
                self._prefill_server = event.prefill
                self._decode_server = event.decode
                self._decode_started_s = None if event.prefill else now_s
                self._answers_relayed = False
                self.verdict = place_events.Verdict.UNKNOWN
                self.prefill_failed = False
                self.prefill_s = 0.0
            case events.PrefillDone():
                self._measure_prefill(now_s)
                self._decode_started_s = now_s
            case events.TransferDone(relay=relay):
                self._first_token_s = None
                self._answers_relayed = bool(relay)
            case events.TokenArrived(index=index):
                self._decode_started_s = None
                self._measure_token(index, now_s)
            case events.DecodeDone():
                self.verdict = place_events.Verdict.SERVED
            case (
                events.AttemptFailed(evacuated=True)
                | events.AttemptFailed(held_back=True)
            ):
                pass  # The server got nothing.
            case events.AttemptFailed(server=server, of_server=of_server):
                if of_server or not self._doubts(server):
                    self._record_failure(event)
            case events.TimeEnded() | events.CallerGone():
                self._check_silence(now_s)

    def _record_failure(self, event):
        if event.server == self._decode_server:
            if event.reason in _FAILURE_REASONS:
                self.verdict = place_events.Verdict.FAILED
        elif event.server == self._prefill_server:
            self.prefill_failed = event.reason in _PREFILL_FAILURE_REASONS

    def _check_silence(self, now_s):
        """Record a failure if the decode server produced no token in time."""
        if self._decode_started_s is None:
            return
        of_server = paths.is_of_server(self._answers_relayed)
        if not of_server and self._doubts(self._decode_server):
            return
        if now_s - self._decode_started_s > FIRST_TOKEN_TIMEOUT_S:
            self.verdict = place_events.Verdict.FAILED

    def _measure_prefill(self, now_s):
        self.prefill_s = 0.0
        if not self._doubts(self._prefill_server):
            self.prefill_s = now_s - self._place_granted_s

    def _measure_token(self, index, now_s):
        if self._first_token_s is None:
            self._first_token_s = now_s
            self._first_index = index
            return
        tokens = (index - self._first_index) * self._event_tokens
        if tokens < MIN_MEASURED_TOKENS:
            return
        if not self._doubts(self._decode_server):
            self.token_s = (now_s - self._first_token_s) / tokens
