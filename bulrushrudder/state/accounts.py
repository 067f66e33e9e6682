"""Holder and token floor of each client account in the replicated state."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.state import results


@dataclasses.dataclass(frozen=True, slots=True)
class AccountRow:
    """The committed token balance of a client account.

    :param holder: the process that may grant tokens; after a release,
        the last one that could.
    :param epoch: log index of the claim or release that made this row.
    :param previous_epoch: the epoch before this one.
    :param floor_number: count of floors committed in this epoch.
    :param floor: lower bound on the tokens left. The holder commits a
        lower floor before it grants below the current one.
    :param outstanding: upper bound on the tokens outstanding in slices.
    :param released: whether the holder has stopped granting.
    :param previous_released: whether the previous epoch ended with a release.
    :param previous_process_ended: whether the holder of the previous
        epoch is known to have ended, because a later process of its VM
        opened a session.
    """

    environment: types.Environment
    account: ids.AccountId
    holder: ids.Owner
    epoch: int
    previous_epoch: int
    floor_number: int
    floor: float
    outstanding: float
    released: bool
    previous_released: bool
    previous_process_ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAccount:
    """Make a process the holder of a client account.

    :param epoch: the epoch that the process saw; 0 if there is no row.
    :param level: initial tokens of an account without a row.
    """

    environment: types.Environment
    account: ids.AccountId
    owner: ids.Owner
    epoch: int
    level: float


@dataclasses.dataclass(frozen=True, slots=True)
class SetFloor:
    """Change the floor below which the holder does not grant.

    :param floor_number: the number of the row plus one.
    """

    environment: types.Environment
    account: ids.AccountId
    epoch: int
    floor_number: int
    floor: float
    outstanding: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseAccount:
    """Release a client account and record the tokens left in it."""

    environment: types.Environment
    account: ids.AccountId
    epoch: int
    floor: float
    outstanding: float


@dataclasses.dataclass(frozen=True, slots=True)
class AccountsSnapshot:
    """The rows of all client accounts."""

    rows: tuple[AccountRow, ...]


class Accounts:
    """The row of each client account; rows are never removed.

    :param sessions: the table of open sessions.
    :ivar by_key: rows by environment and account.
    """

    def __init__(self, sessions):
        self._sessions = sessions
        self._accounts_by_environment = {}
        self.by_key = {}

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        row = self.by_key.get((command.environment, command.account))
        match command:
            case ClaimAccount():
                return self._claim(index, row, command)
            case SetFloor():
                return self._set_floor(index, row, command)
            case ReleaseAccount():
                return self._release(index, row, command)
        raise AssertionError(f'unknown command {command!r}')

    def lower_floors(self, environment, accounts_by_id):
        """Lower floors to the bursts of the document now in force.

        :param accounts_by_id: client accounts of the document. Accounts
            that are the same objects as in the last call are skipped.
        """
        before = self._accounts_by_environment.get(environment, {})
        self._accounts_by_environment[environment] = accounts_by_id
        for account_id, account in accounts_by_id.items():
            if before.get(account_id) is account:
                continue
            row = self.by_key.get((environment, account_id))
            if row is not None:
                self._put(row)

    def snapshot(self):
        """Return the table as an AccountsSnapshot."""
        return AccountsSnapshot(tuple(self.by_key.values()))

    def restore(self, snapshot):
        """Replace the table by an AccountsSnapshot.

        Floors are not checked until ``lower_floors`` is called.
        """
        self._accounts_by_environment = {}
        self.by_key = {(r.environment, r.account): r for r in snapshot.rows}

    def _claim(self, index, row, command):
        if row is None and command.epoch == 0:
            self._put(_first_row(index, command))
            return results.Accepted(index)
        if row is None:
            return results.Rejected(
                f'epoch {command.epoch} claimed, but the account has no row'
            )
        is_holder = row.holder == command.owner and not row.released
        if is_holder and row.previous_epoch == command.epoch:
            return results.Accepted(row.epoch, repeated=True)
        if row.epoch != command.epoch:
            return results.Rejected(
                f'epoch {command.epoch} is outdated; it is now {row.epoch}'
            )
        if not row.released and self._is_open(row.holder):
            return results.Rejected(
                'the holder still has a session', row.holder.vm
            )
        claimed = dataclasses.replace(
            row,
            holder=command.owner,
            epoch=index,
            previous_epoch=row.epoch,
            floor_number=0,
            released=False,
            previous_released=row.released,
            previous_process_ended=self._sessions.has_ended(
                row.holder, row.epoch
            ),
        )
        self._put(claimed)
        return results.Accepted(index)

    def _set_floor(self, index, row, command):
        if row is None or row.epoch != command.epoch or row.released:
            return results.Rejected(f'epoch {command.epoch} is not in force')
        if command.floor_number == row.floor_number:
            return results.Accepted(index, repeated=True)
        if command.floor_number != row.floor_number + 1:
            return results.Rejected(
                f'floor number {command.floor_number} does not follow '
                f'{row.floor_number}'
            )
        self._put(
            dataclasses.replace(
                row,
                floor_number=command.floor_number,
                floor=command.floor,
                outstanding=command.outstanding,
            )
        )
        return results.Accepted(index)

    def _release(self, index, row, command):
        if row is None or row.epoch != command.epoch or row.released:
            return results.Rejected(f'epoch {command.epoch} is not in force')
        self._put(
            dataclasses.replace(
                row,
                epoch=index,
                previous_epoch=row.epoch,
                floor=command.floor,
                outstanding=command.outstanding,
                released=True,
            )
        )
        return results.Accepted(index)

    def _is_open(self, owner):
        session = self._sessions.by_vm.get(owner.vm)
        return session is not None and session.owner == owner

    def _put(self, row):
        accounts_by_id = self._accounts_by_environment.get(row.environment, {})
        account = accounts_by_id.get(row.account)
        if account is not None and row.floor + row.outstanding > account.burst:
            floor = max(0.0, account.burst - row.outstanding)
            row = dataclasses.replace(row, floor=floor)
        self.by_key[row.environment, row.account] = row


def _first_row(index, command):
    return AccountRow(
        environment=command.environment,
        account=command.account,
        holder=command.owner,
        epoch=index,
        previous_epoch=0,
        floor_number=0,
        floor=command.level,
        outstanding=0.0,
        released=False,
        previous_released=True,
    )
