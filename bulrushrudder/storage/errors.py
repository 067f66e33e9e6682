"""Errors of durable storage."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FolderLocked:
    """Another process owns the data folder."""

    folder: str

    def __str__(self):
        """Return a sentence for the operator."""
        return f'{self.folder} belongs to another running process'


@dataclasses.dataclass(frozen=True, slots=True)
class FolderUnusable:
    """The data folder cannot be read or written."""

    folder: str
    problem: str

    def __str__(self):
        """Return a sentence for the operator."""
        return f'{self.folder} cannot be used: {self.problem}'


@dataclasses.dataclass(frozen=True, slots=True)
class FileDamaged:
    """A file holds other bytes than were synced.

    :param offset: where in the file, in bytes.
    """

    file: str
    offset: int
    problem: str

    def __str__(self):
        """Return a sentence for the operator, with what to do."""
        return (
            f'{self.file} is damaged at byte {self.offset}: {self.problem}; '
            'empty the data folder while the other control VMs run, and '
            'this one joins them anew'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DiskFull:
    """There is no room; what was to be written was not."""

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class SyncFailed:
    """Nobody can say what reached the disk; the process must stop."""

    problem: str


OpenError = FolderLocked | FolderUnusable | FileDamaged
WriteError = DiskFull | SyncFailed
