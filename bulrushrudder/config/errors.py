"""Errors in files that an operator provides."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FileError:
    """One error in a file.

    :param file: the path of the file, as the operator gave it.
    :param line: the line number, from 1; 0 where no line is known.
    :param field: the path of the field; empty for the whole file.
    :param problem: what is wrong and what was expected.
    """

    file: str
    line: int
    field: str
    problem: str

    def __str__(self):
        """Return the error as FILE:LINE: FIELD: PROBLEM."""
        field = f'{self.field}: ' if self.field else ''
        return f'{self.file}:{self.line}: {field}{self.problem}'
