"""The data folder: its lock, its id and atomic file replacement."""

import dataclasses
import errno
import fcntl
import os
import pathlib
import secrets
import typing

from returns import result

from bulrushrudder.storage import errors

ID_FILE = 'id'
FOUNDING_FILE = 'may-found'
LOCK_FILE = 'lock'
NEW_SUFFIX = '.new'
ID_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class SystemCalls:
    """Operating system calls, replaceable by tests that inject faults."""

    sync_data: typing.Callable = os.fdatasync
    sync: typing.Callable = os.fsync
    allocate: typing.Callable = os.posix_fallocate


def lock(stack, path):
    """Create the folder if it does not exist, and lock it.

    :param stack: an ExitStack that releases the lock.
    :returns: the path, or an OpenError.
    """
    try:
        pathlib.Path(path).mkdir(parents=True, exist_ok=True)
        file = stack.enter_context((path / LOCK_FILE).open('a'))
    except OSError as error:
        problem = error.strerror or repr(error)
        return result.Failure(errors.FolderUnusable(str(path), problem))
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return result.Failure(errors.FolderLocked(str(path)))
    return result.Success(path)


def read_id(path):
    """Return the id of the data folder.

    :returns: the id, or FileDamaged.
    """
    file = path / ID_FILE
    if not file.exists():
        problem = 'the id file is missing, but the folder has been used before'
        return result.Failure(errors.FileDamaged(str(file), 0, problem))
    found = file.read_text(errors='replace')
    if len(found) != 2 * ID_BYTES:
        problem = (
            f'the id has {len(found)} characters instead of {2 * ID_BYTES}'
        )
        return result.Failure(errors.FileDamaged(str(file), 0, problem))
    return result.Success(found)


def create_id(path, calls):
    """Create an id for the data folder and persist it.

    :returns: None, or a WriteError.
    """
    new_id = secrets.token_hex(ID_BYTES)
    return replace_file(path, ID_FILE, new_id.encode(), calls)


def permit_founding(path, addresses, calls):
    """Record that a log may be founded while this folder has none.

    :param addresses: the control addresses for which this holds.
    :returns: None, or a WriteError.
    """
    if permits_founding(path, addresses):
        return result.Success(None)
    return replace_file(path, FOUNDING_FILE, _permission(addresses), calls)


def permits_founding(path, addresses):
    """Return whether an earlier start was permitted to found a log."""
    file = path / FOUNDING_FILE
    return file.exists() and file.read_bytes() == _permission(addresses)


def _permission(addresses):
    return '\n'.join(sorted(addresses)).encode()


def replace_file(path, name, data, calls):
    """Replace a whole file atomically and durably.

    :returns: None, or a WriteError.
    """
    temporary = path / (name + NEW_SUFFIX)
    try:
        temporary.write_bytes(data)
        problem = _sync_file(temporary, calls)
        if problem is not None:
            return result.Failure(problem)
        temporary.replace(path / name)
    except OSError as error:
        temporary.unlink(missing_ok=True)
        return result.Failure(write_error(error))
    return sync_folder(path, calls)


def sync_folder(path, calls):
    """Sync the directory entries of the folder.

    :returns: None, or a WriteError.
    """
    descriptor = os.open(path, os.O_RDONLY)
    try:
        calls.sync(descriptor)
    except OSError as error:
        return result.Failure(write_error(error))
    finally:
        os.close(descriptor)
    return result.Success(None)


def write_error(error):
    """Return the WriteError for the OSError of a failed write."""
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        return errors.DiskFull(error.strerror)
    return errors.SyncFailed(repr(error))


def _sync_file(file, calls):
    with file.open('rb') as opened:
        try:
            calls.sync(opened.fileno())
        except OSError as error:
            return write_error(error)
    return None
