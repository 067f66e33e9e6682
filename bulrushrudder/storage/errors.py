"""Errors of durable storage."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FolderLocked:
    """The data folder is locked by another process."""

    folder: str

    def __str__(self):
        """Return a sentence for the operator."""
        return f'{self.folder} is in use by another running process'


@dataclasses.dataclass(frozen=True, slots=True)
class FolderUnusable:
    """The data folder cannot be read or written."""

    folder: str
    problem: str

    def __str__(self):
        """Return a sentence for the operator."""
        return f'cannot use data folder {self.folder}: {self.problem}'


@dataclasses.dataclass(frozen=True, slots=True)
class FileDamaged:
    """A file does not contain the bytes that were synced.

    :param offset: the position of the damage in bytes.
    """

    file: str
    offset: int
    problem: str

    def __str__(self):
        """Return a sentence for the operator, with the remedy."""
        return (
            f'{self.file} is damaged at byte {self.offset}: {self.problem}; '
            'while the other control VMs are running, empty the data folder '
            'and restart, so that this VM rejoins as a new member'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DiskFull:
    """The disk is full; what was to be written is not durable.

    The same write may be repeated once there is free space.
    """

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class SyncFailed:
    """A write or sync failed; the process must stop.

    It is unknown which bytes reached the disk.
    """

    problem: str


OpenError = FolderLocked | FolderUnusable | FileDamaged
WriteError = DiskFull | SyncFailed
