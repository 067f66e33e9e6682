"""Logs the decisions about one request and the view they are based on."""

from bulrushrudder.core import units
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events

# Name of the direct path in logs; any other is the VM that relays.
DIRECT = 'direct'


class Trace:
    """Writes the log events of one request to a model.

    :param request_id: id of the request in logs.
    :param view: the View of the log that decisions are based on.
    :param clock: object whose time() returns monotonic seconds.
    :param waited_s: seconds that the caller waited in earlier attempts.
    :param parts: ids of the shared parts of the prompt, or None.
    """

    def __init__(self, request_id, view, clock, waited_s=0.0, parts=None):
        self._request_id = request_id
        self._view = view
        self._clock = clock
        self._started_s = clock.time()
        self._waited_s = waited_s
        self._parts = ','.join(parts or ())
        self._attempt_tokens = 0
        self._decode = ''
        self._waits_for = ''

    def event(self, event):
        """Log an event that marks progress or failure of the request."""
        match event:
            case events.TokenArrived():
                self._attempt_tokens += 1
            case events.PlaceGranted(prefill=prefill, decode=decode):
                self._attempt_tokens = 0
                self._decode = decode
                self._emit(
                    catalogue.PLACE_GRANTED,
                    prefill=prefill,
                    decode=decode,
                    waited_ms=round(self._waited_s * units.MS_PER_SECOND),
                    view=self._view.index,
                    view_age_ms=self._view.age_ms(self._clock.time()),
                )
            case events.PrefillDone(prompt_tokens=tokens):
                self._emit(catalogue.PREFILL_DONE, tokens=tokens)
            case events.TransferDone(relay=relay):
                self._emit(
                    catalogue.DECODE_STARTED,
                    server=self._decode,
                    software=self._software(),
                    path=relay or DIRECT,
                )
            case events.CallerGone():
                self._emit(catalogue.CALLER_GONE)
            case events.AttemptFailed():
                self._emit(
                    catalogue.ATTEMPT_FAILED,
                    attempt=str(event.attempt),
                    server=event.server,
                    reason=event.reason.name,
                    detail=event.detail,
                    sent=event.sent,
                    tokens=self._attempt_tokens,
                    parts=self._parts,
                )

    def step(self, action):
        """Log the decision to retry, and remember what is waited for."""
        self._waits_for = ''
        match action:
            case actions.RequestTokens():
                self._waits_for = 'tokens'
            case actions.RequestPlace():
                self._waits_for = 'place'
            case actions.BackOff():
                self._emit(
                    catalogue.RETRY_DECIDED,
                    after=action.reason.name,
                    delay_ms=round(action.delay_s * units.MS_PER_SECOND),
                )

    def end(self, action):
        """Log that the request was answered, or waited in vain.

        The refusals module logs the reasons of refusals.
        """
        match action:
            case actions.Complete(tokens=tokens):
                self._emit(catalogue.REQUEST_ANSWERED, tokens=tokens)
            case actions.Refuse() if self._waits_for:
                self._emit(
                    catalogue.WAIT_ENDED,
                    waited_for=self._waits_for,
                    hosts=len(self._view.state.sessions.hosts_by_vm),
                    view=self._view.index,
                    view_age_ms=self._view.age_ms(self._clock.time()),
                )

    def _software(self):
        """Return the software version of the current decode server."""
        server = self._view.state.servers.by_id.get(self._decode)
        return server.software if server else ''

    def _emit(self, event, **fields):
        elapsed_s = self._clock.time() - self._started_s
        log.emit(
            event,
            request=self._request_id,
            elapsed_ms=round(elapsed_s * units.MS_PER_SECOND),
            **fields,
        )
