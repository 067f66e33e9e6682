"""Messages between the system's own processes."""

import dataclasses

from bulrushrudder.core import ids

VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link, from both ends.

    :param nonce: what the peer must sign with the cluster secret.
    """

    version: int
    owner: ids.Owner
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Shows that the sender holds the cluster secret."""

    signature: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says that the link is alive."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A message that wants an answer.

    :param call: matches the answer to the question on this link.
    :param body: an encoded message.
    """

    call: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to an Ask."""

    call: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Observe:
    """Asks a control process for the log after an index."""

    owner: ids.Owner
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Committed commands in the order of the log.

    :param first: the index of the first command.
    :param commands: encoded commands.
    """

    first: int
    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Vouch:
    """Says that an index was current when a round began.

    :param round: the number of the observer's question.
    """

    round: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskVouch:
    """Asks for a Vouch; the observer notes when it was sent."""

    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Asks the control process to commit a command."""

    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """The outcome of a proposed command, encoded."""

    outcome: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AskTokens:
    """Asks an account's authority for tokens.

    :param tokens: the whole cost of one request.
    :param patience_s: seconds that the request can wait.
    """

    account: ids.AccountId
    tokens: int
    patience_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokensGranted:
    """The tokens are the asker's."""


@dataclasses.dataclass(frozen=True, slots=True)
class TokensRefused:
    """The tokens cannot be had in time.

    :param reason: number of the Reason.
    :param retry_after_s: seconds until the tokens would be there.
    """

    reason: int
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnTokens:
    """Gives back the unused part of a grant."""

    account: ids.AccountId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskPlace:
    """Asks a cell's coordinator for servers.

    :param request: the request that is placed.
    :param account: whose share of the queue it takes.
    :param tokens: prompt and output bound together.
    :param patience_s: seconds that the request can queue.
    """

    request: ids.RequestId
    owner: ids.Owner
    account: str
    model: ids.ModelId
    prompt_tokens: int
    output_tokens: int
    interactive: bool
    patience_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceGranted:
    """The servers that run a request."""

    prefill: ids.ServerId
    decode: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRefused:
    """No servers can be had in time."""

    reason: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePlace:
    """The request holds nothing on its servers any more."""

    request: ids.RequestId
    owner: ids.Owner
    model: ids.ModelId


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Passes on what a backend server announced.

    :param server: an encoded BackendServer join command.
    """

    server: bytes
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Noted:
    """Says that a message was taken in."""
