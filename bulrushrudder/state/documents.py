"""Documents of each environment in the replicated state."""

import dataclasses

from bulrushrudder.documents import differences
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.state import results

MAX_HISTORY_ENTRIES = 1000
MAX_PENDING_VERSIONS = 200
MAX_PENDING_ITEMS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitDocument:
    """Put a document in force in the trial environment.

    :param base_version: the version that the difference is based on; 0
        before the first document.
    :param base_digest: the digest of that version.
    :param digest: the digest of the bytes that the operator sent.
    :param operator: who submitted the document, for the history.
    """

    base_version: int
    base_digest: str
    difference: differences.Difference
    digest: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteDocument:
    """Put a document that trial accepted in force in production."""

    version: int
    digest: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdoptDocument:
    """Put a document in force in both environments, without a trial.

    It has no effect if production has the same or a later version.
    Versions that were pending promotion are dropped, since they are
    based on an earlier document.

    :param source: the bytes that the operator sent.
    """

    document: types.Document
    source: bytes
    digest: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One accepted document in the history of an environment.

    :param index: log index of the command that put it in force.
    """

    version: int
    digest: str
    operator: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingVersion:
    """A version accepted in trial that is later than production's.

    :param difference: the difference to the version before it.
    """

    digest: str
    difference: differences.Difference


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentsSnapshot:
    """The documents and histories of all environments.

    The document of trial is production's with the pending differences
    applied.

    :param pending: versions not yet in production, oldest first.
    :param source: the bytes of the last adopted document.
    """

    production: types.Document
    trial_history: tuple[HistoryEntry, ...]
    production_history: tuple[HistoryEntry, ...]
    pending: tuple[PendingVersion, ...]
    source: bytes = b''


class Documents:
    """Accepted documents of each environment.

    Production's document is one that trial accepted before, so trial's
    is production's with the pending differences applied. Memory is
    bounded: the oldest history entries are dropped, and the oldest
    pending versions are merged into one; only the last of the merged
    versions can still be promoted.

    :param max_history_entries: history entries kept per environment.
    :param max_pending_versions: pending versions kept without a merge.
    :param max_pending_items: total of changed items in the pending
        versions kept without a merge.
    :ivar history_by_environment: accepted versions, oldest first.
    :ivar source: the bytes of the last adopted document.
    """

    def __init__(
        self,
        max_history_entries=MAX_HISTORY_ENTRIES,
        max_pending_versions=MAX_PENDING_VERSIONS,
        max_pending_items=MAX_PENDING_ITEMS,
    ):
        self._max_history_entries = max_history_entries
        self._max_pending_versions = max_pending_versions
        self._max_pending_items = max_pending_items
        self._pending = []
        self.source = b''
        self._lookups_by_environment = dict.fromkeys(
            types.Environment, lookups.EMPTY_LOOKUPS
        )
        self.history_by_environment = {e: [] for e in types.Environment}

    def in_force(self, environment):
        """Return the document in force in an environment."""
        return self._lookups_by_environment[environment].document

    def lookups(self, environment):
        """Return the Lookups of the document in force."""
        return self._lookups_by_environment[environment]

    def latest_entry(self, environment):
        """Return the latest HistoryEntry of an environment, or None."""
        history = self.history_by_environment[environment]
        return history[-1] if history else None

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        match command:
            case SubmitDocument():
                return self._submit(index, command)
            case PromoteDocument():
                return self._promote(index, command)
            case AdoptDocument():
                return self._adopt(index, command)
        raise AssertionError(f'unknown command {command!r}')

    def snapshot(self):
        """Return the table as a DocumentsSnapshot."""
        environments = types.Environment
        return DocumentsSnapshot(
            self.in_force(environments.PRODUCTION),
            tuple(self.history_by_environment[environments.TRIAL]),
            tuple(self.history_by_environment[environments.PRODUCTION]),
            tuple(self._pending),
            self.source,
        )

    def restore(self, snapshot):
        """Replace the table by a DocumentsSnapshot."""
        environments = types.Environment
        self._pending = list(snapshot.pending)
        self.source = snapshot.source
        production = lookups.Lookups(snapshot.production)
        self._lookups_by_environment = {
            environments.PRODUCTION: production,
            environments.TRIAL: _apply_versions(production, self._pending),
        }
        self.history_by_environment = {
            environments.TRIAL: list(snapshot.trial_history),
            environments.PRODUCTION: list(snapshot.production_history),
        }

    def _submit(self, index, command):
        environment = types.Environment.TRIAL
        version = command.difference.version
        known_result = self._result_if_known(
            environment, version, command.digest
        )
        if known_result is not None:
            return known_result
        latest = self.latest_entry(environment)
        base = (latest.version, latest.digest) if latest else (0, '')
        if base != (command.base_version, command.base_digest):
            return results.Outdated(index)
        pending = PendingVersion(command.digest, command.difference)
        self._pending.append(pending)
        self._merge_surplus_pending()
        return self._accept(
            environment,
            [pending],
            HistoryEntry(version, command.digest, command.operator, index),
        )

    def _promote(self, index, command):
        environment = types.Environment.PRODUCTION
        known_result = self._result_if_known(
            environment, command.version, command.digest
        )
        if known_result is not None:
            return known_result
        position = self._find_pending(command)
        if position is None:
            return self._reject_promotion(command)
        promoted = self._pending[: position + 1]
        del self._pending[: position + 1]
        return self._accept(
            environment,
            promoted,
            HistoryEntry(
                command.version, command.digest, command.operator, index
            ),
        )

    def _adopt(self, index, command):
        version = command.document.version
        latest = self.latest_entry(types.Environment.PRODUCTION)
        if latest is not None and version <= latest.version:
            return results.Accepted(latest.index, repeated=True)
        adopted = lookups.Lookups(differences.canonical(command.document))
        self.source = command.source
        self._pending = []
        entry = HistoryEntry(version, command.digest, command.operator, index)
        for environment in types.Environment:
            self._lookups_by_environment[environment] = adopted
            self._accept(environment, [], entry)
        return results.Accepted(index)

    def _find_pending(self, command):
        wanted = (command.version, command.digest)
        for position, pending in enumerate(self._pending):
            if (pending.difference.version, pending.digest) == wanted:
                return position
        return None

    def _reject_promotion(self, command):
        for entry in self.history_by_environment[types.Environment.TRIAL]:
            if entry.version != command.version:
                continue
            if entry.digest == command.digest:
                return results.Rejected(
                    f'version {command.version} is too far behind trial and '
                    'was merged into a later one; promote a later one'
                )
            return results.Rejected(
                f'trial accepted version {command.version} with other bytes',
                winner=entry.operator,
            )
        return results.Rejected('trial never accepted these bytes')

    def _result_if_known(self, environment, version, digest):
        """Return the result for a version that is not new, or None."""
        for entry in reversed(self.history_by_environment[environment]):
            if entry.version != version:
                continue
            if entry.digest == digest:
                return results.Accepted(entry.index, repeated=True)
            return results.Rejected(
                f'version {version} already exists with other bytes',
                winner=entry.operator,
            )
        latest = self.latest_entry(environment)
        if latest is None or version > latest.version:
            return None
        return results.Rejected(
            f'version {version} is older than version {latest.version}, '
            'which is in force',
            winner=latest.operator,
        )

    def _accept(self, environment, versions, entry):
        current = self._lookups_by_environment[environment]
        self._lookups_by_environment[environment] = _apply_versions(
            current, versions
        )
        history = self.history_by_environment[environment]
        history.append(entry)
        del history[: -self._max_history_entries]
        return results.Accepted(entry.index)

    def _merge_surplus_pending(self):
        while len(self._pending) > 1 and self._pending_exceeds_limits():
            first, second = self._pending[:2]
            merged = differences.merge(first.difference, second.difference)
            self._pending[:2] = [PendingVersion(second.digest, merged)]

    def _pending_exceeds_limits(self):
        items = sum(pending.difference.size for pending in self._pending)
        return (
            len(self._pending) > self._max_pending_versions
            or items > self._max_pending_items
        )


def _apply_versions(base, versions):
    """Return the Lookups after applying pending versions in order."""
    for version in versions:
        document = differences.apply(base.document, version.difference)
        base = base.with_difference(document, version.difference)
    return base
