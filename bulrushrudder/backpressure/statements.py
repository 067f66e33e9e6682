"""Statements of backend servers about themselves."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The server takes a limited rate of requests from all VMs together.

    :param requests_per_s: None if the server states no limit.
    """

    requests_per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The server takes no new work because it is about to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """The server wants no request of this VM for some time.

    :param duration_s: seconds from the answer on.
    """

    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """A statement that cannot be read; it changes nothing.

    :param detail: what was stated and what was expected.
    """

    detail: str


Statement = RateLimit | Leaving | Pause | Invalid


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The statements of one answer.

    :param sent_s: monotonic seconds at which the request was sent.
    :param received_s: monotonic seconds at which the answer arrived.
    """

    sent_s: float
    received_s: float
    statements: tuple[Statement, ...]
