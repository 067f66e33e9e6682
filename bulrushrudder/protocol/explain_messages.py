"""Messages by which operators ask what would become of a request.

They are sent on demand only; a process of the previous build cannot read
them and does not answer.
"""

import dataclasses

from bulrushrudder.placement import explanation
from bulrushrudder.protocol import place_messages


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Asks an entry process what would become of a request.

    :param pool: id of the model or plain service.
    :param place: the request to a model; None for a plain service.
    """

    pool: str
    place: place_messages.PlaceRequest | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Explained:
    """Response to an ExplainRequest.

    :param vm: the VM that answers.
    :param view_index: index of the log that it has applied.
    :param view_age_s: seconds since this view was confirmed.
    """

    explanation: explanation.Explanation
    vm: str
    view_index: int
    view_age_s: float
