"""Ways in which a runner misbehaves."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Sheds:
    """Rejects requests that it has room for."""


@dataclasses.dataclass(frozen=True, slots=True)
class CopiesLate:
    """Sends a second copy of an answer before the next one."""


@dataclasses.dataclass(frozen=True, slots=True)
class LosesAnswers:
    """Runs requests and closes the connection without an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class CutsAnswers:
    """Closes the connection within an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Garbles:
    """Runs requests and sends bytes that are no answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class AddsBytes:
    """Sends additional bytes after an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fails:
    """Runs requests and answers with a failure of its own.

    :param status: a status without Not-Executed, so that it does not say
        that the request has not run.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stalls:
    """Takes seconds for each request."""

    for_s: float


Fault = (
    Sheds
    | CopiesLate
    | LosesAnswers
    | CutsAnswers
    | Garbles
    | AddsBytes
    | Fails
    | Stalls
)
# A server with these ends the connection before the answer is complete.
BREAKING_OFF = (LosesAnswers, CutsAnswers, Garbles)
