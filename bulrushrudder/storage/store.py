"""Persistent storage of a member of the replicated log."""

import dataclasses
import os

from returns import result

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import log
from bulrushrudder.consensus import types
from bulrushrudder.protocol import codec
from bulrushrudder.storage import errors
from bulrushrudder.storage import folder
from bulrushrudder.storage import frames
from bulrushrudder.storage import log_file
from bulrushrudder.storage import records

SNAPSHOT_FILE = 'snapshot'
RESERVED_BYTES = 256 * 1024
SYSTEM_CALLS = folder.SystemCalls()


@dataclasses.dataclass(frozen=True, slots=True)
class Founding:
    """Whether a process may found a log.

    :param permitted: whether its settings permit it.
    :param addresses: the control addresses of the settings.
    """

    permitted: bool
    addresses: tuple[str, ...]


NO_FOUNDING = Founding(False, ())


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedStore:
    """An opened data folder with the state read from it.

    :param id: the member id, created with the folder.
    :param durable: the persistent state of the member.
    :param torn: whether a torn tail of the log was truncated.
    :param may_found: whether this start, or an earlier one with the same
        folder and addresses, was permitted to found a log.
    """

    id: types.MemberId
    durable: types.PersistentState
    torn: bool
    store: 'Store'
    may_found: bool = False


class Store:
    """Persists batches of consensus actions.

    :param path: the data folder.
    :param opened_file: the LogFile.
    :param calls: operating system calls.
    """

    def __init__(self, path, opened_file, calls):
        self._path = path
        self._file = opened_file
        self._calls = calls

    @property
    def log_bytes(self):
        """Return the size of the log in bytes."""
        return self._file.end

    def close(self):
        """Close the files."""
        self._file.close()

    def reserve(self, size):
        """Allocate log space for a batch.

        Extra space is reserved for changes of the hard state, so that a
        full disk blocks new entries but not elections.

        :param size: the size of the batch in bytes.
        :returns: None, or a WriteError; nothing was written then.
        """
        return self._file.reserve(size + RESERVED_BYTES)

    def has_free_space(self, size):
        """Return whether the disk has free space for a new file.

        :param size: the size of the file in bytes.
        """
        found = os.statvfs(self._path)
        return found.f_bavail * found.f_frsize >= size

    def save(self, batch):
        """Persist the SaveEntries and SaveSnapshot actions in order.

        After DiskFull, the same batch must be saved again before any
        other.

        :returns: None, or a WriteError.
        """
        pending = []
        for action in batch:
            match action:
                case actions.SaveEntries():
                    pending.append(action)
                case actions.SaveSnapshot():
                    pending = []
                    saved = self._save_snapshot(action)
                    if isinstance(saved, result.Failure):
                        return saved
        if not pending:
            return result.Success(None)
        entries = tuple(e for action in pending for e in action.entries)
        record = records.Batch(pending[-1].hard_state, entries)
        return self._file.append(codec.encode(record))

    def _save_snapshot(self, action):
        data = frames.pack(0, codec.encode(action.snapshot))
        record = records.Batch(action.hard_state, action.entries)
        first_frame = frames.pack(0, codec.encode(record))
        saved = folder.replace_file(
            self._path, SNAPSHOT_FILE, data, self._calls
        )
        if isinstance(saved, result.Success):
            saved = folder.replace_file(
                self._path, log_file.LOG_FILE, first_frame, self._calls
            )
        if isinstance(saved, result.Success):
            self._file.close()
            self._file = log_file.LogFile(
                self._path, self._calls, 1, len(first_frame)
            )
        return saved


def open_store(stack, path, calls=SYSTEM_CALLS, founding=NO_FOUNDING):
    """Open a data folder, or set up an empty one for a new member.

    :param stack: an ExitStack that closes the files and the lock.
    :param founding: the Founding. The folder records its permission, since
        the process may end before it has founded a log.
    :returns: an OpenedStore, or an OpenError.
    """
    locked = folder.lock(stack, path)
    return locked.bind(lambda _: _open(stack, path, calls, founding))


def _open(stack, path, calls, founding):
    try:
        return _load(stack, path, calls, founding)
    except OSError as error:
        problem = error.strerror or repr(error)
        return result.Failure(errors.FolderUnusable(str(path), problem))


def _load(stack, path, calls, founding):
    created = _create(path, calls)
    if founding.permitted:
        created = created.bind(
            lambda _: folder.permit_founding(path, founding.addresses, calls)
        )
    if isinstance(created, result.Failure):
        problem = created.failure().problem
        return result.Failure(errors.FolderUnusable(str(path), problem))
    may_found = folder.permits_founding(path, founding.addresses)
    return _read_files(stack, path, calls).map(
        lambda opened: dataclasses.replace(opened, may_found=may_found)
    )


def _create(path, calls):
    """Set up an empty folder.

    The id is written last: after a crash before that, the next start
    repeats the setup.
    """
    if (path / folder.ID_FILE).exists() or _has_data(path):
        return result.Success(None)
    record = codec.encode(records.Batch(types.NO_HARD_STATE, ()))
    first_frame = frames.pack(0, record)
    created = folder.replace_file(path, log_file.LOG_FILE, first_frame, calls)
    return created.bind(lambda _: folder.create_id(path, calls))


def _has_data(path):
    if (path / SNAPSHOT_FILE).exists():
        return True
    file = path / log_file.LOG_FILE
    if not file.exists():
        return False
    return len(frames.scan(file.read_bytes()).payloads) > 1


def _read_files(stack, path, calls):
    folder_id = folder.read_id(path)
    if isinstance(folder_id, result.Failure):
        return folder_id
    scanned = log_file.read(path)
    if isinstance(scanned, result.Failure):
        return scanned
    loaded = _read_snapshot(path)
    if isinstance(loaded, result.Failure):
        return loaded
    return _open_file(
        stack,
        path,
        calls,
        folder_id.unwrap(),
        scanned.unwrap(),
        loaded.unwrap(),
    )


def _open_file(stack, path, calls, id_, scan, snapshot):
    replayed = _replay(path, scan.payloads, snapshot)
    if isinstance(replayed, result.Failure):
        return replayed
    log_file.make_durable(path, scan.end if scan.torn else None, calls)
    opened_file = log_file.LogFile(path, calls, len(scan.payloads), scan.end)
    store = Store(path, opened_file, calls)
    stack.callback(store.close)
    return result.Success(
        OpenedStore(
            types.MemberId(id_),
            replayed.unwrap(),
            scan.torn,
            store,
        )
    )


def _read_snapshot(path):
    file = path / SNAPSHOT_FILE
    if not file.exists():
        return result.Success(types.NO_SNAPSHOT)
    scan = frames.scan(file.read_bytes())
    if scan.torn or len(scan.payloads) != 1:
        problem = 'the snapshot is not a single frame with a valid checksum'
        return result.Failure(errors.FileDamaged(str(file), 0, problem))
    return _decode(file, scan.payloads[0])


def _replay(path, payloads, snapshot):
    """Return the persistent state after applying all log records."""
    file = path / log_file.LOG_FILE
    hard_state = types.NO_HARD_STATE
    replayed = log.Log(types.NO_SNAPSHOT, ())
    for payload in payloads:
        decoded = _decode(file, payload)
        if isinstance(decoded, result.Failure):
            return decoded
        hard_state = decoded.unwrap().hard_state
        for entry in decoded.unwrap().entries:
            replayed.append([entry])
    if replayed.entries and replayed.first_index > snapshot.index + 1:
        problem = (
            'missing entries: the snapshot ends at index '
            f'{snapshot.index}, the log begins at {replayed.first_index}'
        )
        return result.Failure(errors.FileDamaged(str(file), 0, problem))
    if replayed.first_index <= snapshot.index:
        replayed = _without_conflicts(replayed, snapshot)
    return result.Success(
        types.PersistentState(hard_state, snapshot, tuple(replayed.entries))
    )


def _without_conflicts(replayed, snapshot):
    """Drop the log if it conflicts with the leader's snapshot.

    A crash may separate the installation of the snapshot from the
    replacement of the log file.
    """
    if replayed.term_at(snapshot.index) == snapshot.term:
        return replayed
    return log.Log(snapshot, ())


def _decode(file, payload):
    return codec.decode(payload).alt(
        lambda error: errors.FileDamaged(str(file), 0, error.problem)
    )
