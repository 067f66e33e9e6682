"""Reads the members of the log from the data folders of control machines.

As a program it prints them, so that the code of the checkout that wrote
the folders reads them: python -P memberships.py FOLDER...
"""

import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys

from returns import result

from bulrushrudder.consensus import log
from bulrushrudder.storage import store

TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Disk:
    """What the log on a disk says of the members.

    :param id: the member id of the disk.
    :param position: term and index of the last entry.
    :param voters_by_id: the last number of a voter's address.
    :param learners_by_id: the same of those that do not vote.
    """

    id: str
    position: tuple
    voters_by_id: dict
    learners_by_id: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The last membership on the disks.

    :param voters: numbers of the machines that vote.
    :param gone: numbers of those of them whose disk is gone.
    :param learners: numbers of the members that do not vote.
    """

    voters: tuple = ()
    gone: tuple = ()
    learners: tuple = ()

    def __str__(self):
        """Return the members in a few words."""
        return (
            f'voters {_words(self.voters)}; of these gone '
            f'{_words(self.gone)}; learners {_words(self.learners)}'
        )


def last(left, gone=()):
    """Return the last Membership on any disk.

    :param left: the Disks of machines that are there.
    :param gone: the Disks that are lost; they may hold the only logs.
    """
    newest = max((*left, *gone), key=lambda disk: disk.position)
    left_ids = {disk.id for disk in left}
    voters_by_id = newest.voters_by_id
    return Membership(
        tuple(sorted(voters_by_id.values())),
        tuple(
            sorted(n for id_, n in voters_by_id.items() if id_ not in left_ids)
        ),
        tuple(sorted(newest.learners_by_id.values())),
    )


def read(folders, root):
    """Return the Disks of data folders that no program uses.

    :param root: the checkout whose programs wrote them.
    """
    words = [sys.executable, '-P', __file__, *map(str, folders)]
    environment = {'PATH': os.environ['PATH'], 'PYTHONPATH': str(root)}
    done = subprocess.run(
        words,
        env=environment,
        stdout=subprocess.PIPE,
        timeout=TIMEOUT_S,
        check=True,
    )
    return [
        Disk(**{**fields, 'position': tuple(fields['position'])})
        for fields in json.loads(done.stdout)
    ]


def _read_folder(path):
    """Return the Disk of a folder; None if it holds no log."""
    with contextlib.ExitStack() as stack:
        match store.open_store(stack, path):
            case result.Failure(error):
                raise SystemExit(str(error))
            case result.Success(opened):
                durable = opened.durable
    read_log = log.Log(durable.snapshot, durable.entries)
    members = read_log.members()
    return Disk(
        opened.id,
        (read_log.last_term or 0, read_log.last_index),
        _numbers_by_id(member for member in members if member.voter),
        _numbers_by_id(member for member in members if not member.voter),
    )


def _numbers_by_id(members):
    return {
        member.id: int(member.address.partition(':')[0].rpartition('.')[2])
        for member in members
    }


def _words(numbers):
    return ' '.join(map(str, numbers)) or 'none'


if __name__ == '__main__':
    found = [_read_folder(pathlib.Path(folder)) for folder in sys.argv[1:]]
    print(json.dumps([dataclasses.asdict(disk) for disk in found]))
