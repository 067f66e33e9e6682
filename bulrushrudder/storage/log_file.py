"""The append-only file of the log."""

import os

from returns import result

from bulrushrudder.storage import errors
from bulrushrudder.storage import folder
from bulrushrudder.storage import frames

LOG_FILE = 'log'
ALLOCATION_BYTES = 1024 * 1024


class LogFile:
    """Appends frames and syncs each of them.

    Room is allocated ahead, so that a full disk shows before anything
    is written.

    :param path: the data folder.
    :param sequence: the number of frames in the file.
    :param end: where the last frame ends, in bytes.
    """

    def __init__(self, path, calls, sequence, end):
        self._calls = calls
        self._sequence = sequence
        self.end = end
        self._descriptor = os.open(path / LOG_FILE, os.O_RDWR)
        self._allocated = os.fstat(self._descriptor).st_size

    def close(self):
        """Close the file."""
        os.close(self._descriptor)

    def reserve(self, size):
        """Make sure of room for a number of bytes.

        :returns: None, or DiskFull.
        """
        missing = self.end + size - self._allocated
        if missing <= 0:
            return result.Success(None)
        size = max(missing, ALLOCATION_BYTES)
        try:
            self._calls.allocate(self._descriptor, self._allocated, size)
        except OSError as error:
            return result.Failure(folder.write_error(error))
        self._allocated += size
        return result.Success(None)

    def append(self, payload):
        """Write a frame and sync it.

        :returns: None, or a WriteError.
        """
        frame = frames.pack(self._sequence, payload)
        reserved = self.reserve(len(frame))
        if isinstance(reserved, result.Failure):
            return reserved
        try:
            written = os.pwrite(self._descriptor, frame, self.end)
            if written != len(frame):
                return result.Failure(errors.SyncFailed('a short write'))
            self._calls.sync_data(self._descriptor)
        except OSError as error:
            return result.Failure(errors.SyncFailed(repr(error)))
        self._sequence += 1
        self.end += len(frame)
        return result.Success(None)


def read(path):
    """Return the Scan of the log file, cut at a torn tail.

    :returns: the Scan, or FileDamaged.
    """
    file = path / LOG_FILE
    if not file.exists():
        problem = 'the log is missing, though the folder was in use'
        return result.Failure(errors.FileDamaged(str(file), 0, problem))
    scan = frames.scan(file.read_bytes())
    if not scan.payloads:
        problem = 'the beginning of the log is gone'
        return result.Failure(errors.FileDamaged(str(file), 0, problem))
    if scan.damaged:
        problem = 'a later write is whole, so this one was synced'
        return result.Failure(errors.FileDamaged(str(file), scan.end, problem))
    return result.Success(scan)


def truncate(path, end, calls):
    """Cut a torn tail off, durably."""
    descriptor = os.open(path / LOG_FILE, os.O_RDWR)
    try:
        os.ftruncate(descriptor, end)
        calls.sync(descriptor)
    finally:
        os.close(descriptor)
