"""Parses requests and encodes answers of the completions API."""

import json

import msgspec
import pydantic
from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.utils import web

STATUS_BY_REASON = {
    outcomes.Reason.MALFORMED_REQUEST: 400,
    outcomes.Reason.BODY_TOO_LARGE: 413,
    outcomes.Reason.BODY_TOO_SLOW: 408,
    outcomes.Reason.HEADERS_TOO_LARGE: 431,
    outcomes.Reason.ROUTE_UNKNOWN: 404,
    outcomes.Reason.MODEL_UNKNOWN: 404,
    outcomes.Reason.KEY_MISSING: 401,
    outcomes.Reason.KEY_UNKNOWN: 401,
    outcomes.Reason.ROUTE_FORBIDDEN: 403,
    outcomes.Reason.COST_ABOVE_BURST: 429,
    outcomes.Reason.OVER_RATE: 429,
    outcomes.Reason.INSIDE_RATE: 429,
    outcomes.Reason.BACKEND_FAILED: 502,
    outcomes.Reason.BACKEND_SILENT: 504,
    outcomes.Reason.TRANSFER_FAILED: 502,
    outcomes.Reason.REQUEST_QUARANTINED: 422,
    outcomes.Reason.ID_REUSED: 422,
    outcomes.Reason.ID_TOO_OLD: 422,
    outcomes.Reason.ID_RUNNING: 409,
    outcomes.Reason.OUTCOME_UNKNOWN: 504,
    outcomes.Reason.ANSWER_NOT_KEPT: 409,
    outcomes.Reason.CALLER_GONE: 499,
    outcomes.Reason.INTERNAL_ERROR: 500,
}
DEFAULT_STATUS = 503
# Larger bodies are not parsed with fields that are ignored.
MAX_PARSED_WHOLE_BYTES = 64 * 1024
_quote = json.encoder.encode_basestring_ascii


class CompletionRequest(pydantic.BaseModel):
    """The body of a completions request."""

    model_config = pydantic.ConfigDict(extra='ignore')

    prompt: str = pydantic.Field(min_length=1)
    model: str | None = None
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    stream: bool = False


class _Outline(msgspec.Struct):
    """The fields of a completions request, without any others.

    pydantic reads a body whole, which may take many times its size if it
    has fields that are ignored.
    """

    prompt: str | msgspec.UnsetType = msgspec.UNSET
    model: str | None | msgspec.UnsetType = msgspec.UNSET
    max_tokens: int | None | msgspec.UnsetType = msgspec.UNSET
    stream: bool | msgspec.UnsetType = msgspec.UNSET


def parse(body, model):
    """Parse and validate a completions request.

    :param body: bytes of the request body.
    :param model: id of the model that the route serves.
    :returns: a CompletionRequest, or a Refusal.
    """
    try:
        request = _read(body)
    except pydantic.ValidationError as error:
        return _malformed(web.format_first_error(error))
    except (msgspec.MsgspecError, RecursionError) as error:
        return _malformed(str(error))
    if request.model not in (None, model):
        reason = outcomes.Reason.MODEL_UNKNOWN
        detail = f'this route serves only the model {model}'
        return result.Failure(outcomes.not_run(reason, detail))
    return result.Success(request)


def _read(body):
    """Return the CompletionRequest of a body.

    :raises pydantic.ValidationError: if it is invalid.
    :raises msgspec.MsgspecError: if it is large and cannot be read.
    """
    if len(body) <= MAX_PARSED_WHOLE_BYTES:
        return CompletionRequest.model_validate_json(body)
    outline = msgspec.json.decode(body, type=_Outline, strict=False)
    stated = {
        name: value
        for name, value in msgspec.structs.asdict(outline).items()
        if value is not msgspec.UNSET
    }
    return CompletionRequest.model_validate(stated)


def _malformed(detail):
    reason = outcomes.Reason.MALFORMED_REQUEST
    return result.Failure(outcomes.not_run(reason, detail))


def status_of(refusal):
    """Return the HTTP status of a refusal."""
    return STATUS_BY_REASON.get(refusal.reason, DEFAULT_STATUS)


def refusal_body(refusal, request_id):
    """Return the JSON text of a refusal."""
    return json.dumps(
        {
            'error': {
                'type': refusal.reason.name.lower(),
                'code': int(refusal.reason),
                'message': refusal.detail,
                'execution': refusal.execution.value,
                'request_id': request_id,
            }
        }
    )


class TokenEncoder:
    """Encodes the tokens of one request as server-sent events.

    The fields that all tokens share are encoded once.
    """

    def __init__(self, request_id, model):
        head = {
            'id': request_id,
            'object': 'text_completion',
            'model': model,
        }
        self._head = 'data: ' + json.dumps(head)[:-1] + ', "token_index": '
        self._middle = ', "choices": [{"index": 0, "text": '
        self._tail = ', "finish_reason": null}]}\n\n'

    def encode(self, index, text):
        """Return the server-sent event of a token as bytes.

        :param index: index of the token in the answer, from 0.
        :param text: text of the token.
        """
        return (
            f'{self._head}{index}{self._middle}{_quote(text)}{self._tail}'
        ).encode()


def final_events(request_id, model, complete):
    """Return the events that end a complete stream."""
    choice = {
        'index': 0,
        'text': '',
        'finish_reason': complete.finish_reason,
    }
    event = _event(
        {
            'id': request_id,
            'object': 'text_completion',
            'model': model,
            'choices': [choice],
            'usage': _usage(complete),
        }
    )
    return event + b'data: [DONE]\n\n'


def error_event(refusal, request_id):
    """Return the event that ends an incomplete stream."""
    text = refusal_body(refusal, request_id)
    return b'event: error\ndata: ' + text.encode() + b'\n\n'


def whole(request_id, model, texts, complete):
    """Return the JSON text of a complete answer.

    :param texts: texts of its tokens.
    :param complete: the Complete action.
    """
    choice = {
        'index': 0,
        'text': ''.join(texts),
        'finish_reason': complete.finish_reason,
    }
    return json.dumps(
        {
            'id': request_id,
            'object': 'text_completion',
            'model': model,
            'choices': [choice],
            'usage': _usage(complete),
        }
    )


def _usage(complete):
    return {
        'prompt_tokens': complete.prompt_tokens,
        'completion_tokens': complete.tokens,
        'total_tokens': complete.prompt_tokens + complete.tokens,
    }


def _event(content):
    return b'data: ' + json.dumps(content).encode() + b'\n\n'
