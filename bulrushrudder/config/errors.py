"""Errors of files that an operator wrote."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FileError:
    """One mistake in a file.

    :param file: the file as the operator named it.
    :param line: counts from 1; 0 where no line is to blame.
    :param field: the path of the field, empty for the whole file.
    :param problem: what is wrong and what was expected.
    """

    file: str
    line: int
    field: str
    problem: str

    def __str__(self):
        """Return the line that an operator reads."""
        field = f'{self.field}: ' if self.field else ''
        return f'{self.file}:{self.line}: {field}{self.problem}'
