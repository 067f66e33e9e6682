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

    Space is allocated in advance, so that a full disk is detected before
    anything is written.

    :param path: the data folder.
    :param sequence: the number of frames in the file.
    :param end: the position after the last frame, in bytes.
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
        """Allocate space for a number of bytes after the last frame.

        :returns: None, or a WriteError.
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

        After DiskFull, parts of the frame may be on the disk. Writing the
        same frame again replaces them, and a crash before that leaves a
        torn tail.

        :returns: None, or a WriteError.
        """
        frame = frames.pack(self._sequence, payload)
        reserved = self.reserve(len(frame))
        if isinstance(reserved, result.Failure):
            return reserved
        try:
            written = 0
            while written < len(frame):
                written += os.pwrite(
                    self._descriptor, frame[written:], self.end + written
                )
            self._calls.sync_data(self._descriptor)
        except OSError as error:
            return result.Failure(folder.write_error(error))
        self._sequence += 1
        self.end += len(frame)
        return result.Success(None)


def read(path):
    """Return the Scan of the log file.

    A torn tail is allowed; damage before the last frame is not.

    :returns: the Scan, or FileDamaged.
    """
    file = path / LOG_FILE
    if not file.exists():
        problem = (
            'the log file is missing, but the folder has been used before'
        )
        return result.Failure(errors.FileDamaged(str(file), 0, problem))
    scan = frames.scan(file.read_bytes())
    if not scan.payloads:
        problem = 'the log does not begin with a whole frame'
        return result.Failure(errors.FileDamaged(str(file), 0, problem))
    if scan.damaged:
        problem = 'a later frame follows, so this frame had been synced'
        return result.Failure(errors.FileDamaged(str(file), scan.end, problem))
    return result.Success(scan)


def make_durable(path, end, calls):
    """Sync the log file, and truncate it at a torn tail.

    A process that was killed may have written its last frames without
    syncing them; they count as stored from now on.

    :param end: where the torn tail begins; None if there is none.
    :raises OSError: if the disk refuses it.
    """
    descriptor = os.open(path / LOG_FILE, os.O_RDWR)
    try:
        if end is not None:
            os.ftruncate(descriptor, end)
        calls.sync(descriptor)
    finally:
        os.close(descriptor)
