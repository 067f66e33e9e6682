"""Documents of each environment in the replicated state."""

import dataclasses

from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.state import results


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitDocument:
    """Offer a document to an environment.

    :param digest: the digest of the bytes that the operator sent.
    :param operator: who submits, for the history.
    """

    environment: types.Environment
    document: types.Document
    digest: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteDocument:
    """Put the bytes that trial accepted in force in production."""

    version: int
    digest: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """One accepted document in an environment's history."""

    document: types.Document
    digest: str
    operator: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """The accepted versions of one environment, oldest first."""

    environment: types.Environment
    versions: tuple[Version, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentsSnapshot:
    """The histories of all environments."""

    histories: tuple[History, ...]


class Documents:
    """Accepted documents of each environment.

    :ivar history_by_environment: accepted versions, oldest first.
    """

    def __init__(self):
        self.history_by_environment = {e: [] for e in types.Environment}

    def in_force(self, environment):
        """Return the document in force in an environment."""
        history = self.history_by_environment[environment]
        return history[-1].document if history else lookups.EMPTY

    def snapshot(self):
        """Return the table as a DocumentsSnapshot."""
        histories = self.history_by_environment.items()
        return DocumentsSnapshot(
            tuple(History(key, tuple(found)) for key, found in histories)
        )

    def restore(self, snapshot):
        """Put a DocumentsSnapshot in the place of the table."""
        self.history_by_environment = {
            history.environment: list(history.versions)
            for history in snapshot.histories
        }

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        match command:
            case SubmitDocument():
                return self._submit(index, command)
            case PromoteDocument():
                return self._promote(index, command)
        raise AssertionError(f'unknown command {command!r}')

    def _submit(self, index, command):
        if command.environment is types.Environment.PRODUCTION:
            return results.Rejected('production takes only promotions')
        version = Version(
            command.document, command.digest, command.operator, index
        )
        return self._append(types.Environment.TRIAL, version)

    def _promote(self, index, command):
        trial = self.history_by_environment[types.Environment.TRIAL]
        found = [v for v in trial if v.digest == command.digest]
        if not found:
            return results.Rejected('trial never accepted these bytes')
        version = dataclasses.replace(
            found[-1], operator=command.operator, index=index
        )
        return self._append(types.Environment.PRODUCTION, version)

    def _append(self, environment, version):
        history = self.history_by_environment[environment]
        number = version.document.version
        known = [v for v in history if v.document.version == number]
        if known and known[0].digest == version.digest:
            return results.Accepted(known[0].index, repeated=True)
        if known:
            return results.Rejected(
                f'version {number} is taken by other bytes',
                winner=known[0].operator,
            )
        if history and number < history[-1].document.version:
            return results.Rejected(
                f'version {history[-1].document.version} is in force'
            )
        history.append(version)
        return results.Accepted(version.index)
