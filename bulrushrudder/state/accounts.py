"""Which VM answers for a client account, and the level it may not pass."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.state import results


@dataclasses.dataclass(frozen=True, slots=True)
class AccountRow:
    """What the log knows of a client account's tokens.

    :param holder: the process that may grant, or that did last.
    :param epoch: index of the claim or release that made this row.
    :param previous: the epoch before it.
    :param number: counts the floors set in this epoch.
    :param floor: tokens that the account is sure to have left.
    :param lent: bound on the tokens that stand out in slices.
    :param released: whether the holder grants no more.
    :param clean: whether the epoch before ended with a release.
    :param ended: whether the process of the epoch before had surely
        ended, as a later one of its VM had opened a session.
    """

    environment: types.Environment
    account: ids.AccountId
    holder: ids.Owner
    epoch: int
    previous: int
    number: int
    floor: float
    lent: float
    released: bool
    clean: bool
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAccount:
    """A process wants to answer for a client account.

    :param epoch: the epoch that it saw, 0 where there is no row.
    :param level: tokens of an account that has no row yet.
    """

    environment: types.Environment
    account: ids.AccountId
    owner: ids.Owner
    epoch: int
    level: float


@dataclasses.dataclass(frozen=True, slots=True)
class SetFloor:
    """The holder moves the level that it will not pass.

    :param number: one more than that of the row.
    """

    environment: types.Environment
    account: ids.AccountId
    epoch: int
    number: int
    floor: float
    lent: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseAccount:
    """The holder grants no more and says what is left."""

    environment: types.Environment
    account: ids.AccountId
    epoch: int
    floor: float
    lent: float


@dataclasses.dataclass(frozen=True, slots=True)
class AccountsSnapshot:
    """All rows."""

    rows: tuple[AccountRow, ...]


class Accounts:
    """The row of each client account; rows are never dropped.

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

        :param accounts_by_id: its client accounts; those that are the
            same objects as before are passed over.
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
        """Return all rows as a data class."""
        return AccountsSnapshot(tuple(self.by_key.values()))

    def restore(self, snapshot):
        """Take the rows of a snapshot."""
        self._accounts_by_environment = {}
        self.by_key = {(r.environment, r.account): r for r in snapshot.rows}

    def _claim(self, index, row, command):
        if row is None and command.epoch == 0:
            self._put(_first_row(index, command))
            return results.Accepted(index)
        if row is None:
            return results.Rejected('the epoch is another')
        is_holder = row.holder == command.owner and not row.released
        if is_holder and row.previous == command.epoch:
            return results.Accepted(row.epoch, repeated=True)
        if row.epoch != command.epoch:
            return results.Rejected('the epoch is another')
        if not row.released and self._is_open(row.holder):
            return results.Rejected('the holder is alive', row.holder.vm)
        claimed = dataclasses.replace(
            row,
            holder=command.owner,
            epoch=index,
            previous=row.epoch,
            number=0,
            released=False,
            clean=row.released,
            ended=self._has_ended(row.holder),
        )
        self._put(claimed)
        return results.Accepted(index)

    def _set_floor(self, index, row, command):
        if row is None or row.epoch != command.epoch or row.released:
            return results.Rejected('the epoch is another')
        if command.number == row.number:
            return results.Accepted(index, repeated=True)
        if command.number != row.number + 1:
            return results.Rejected('the number is another')
        self._put(
            dataclasses.replace(
                row,
                number=command.number,
                floor=command.floor,
                lent=command.lent,
            )
        )
        return results.Accepted(index)

    def _release(self, index, row, command):
        if row is None or row.epoch != command.epoch or row.released:
            return results.Rejected('the epoch is another')
        self._put(
            dataclasses.replace(
                row,
                epoch=index,
                previous=row.epoch,
                floor=command.floor,
                lent=command.lent,
                released=True,
            )
        )
        return results.Accepted(index)

    def _is_open(self, owner):
        session = self._sessions.by_vm.get(owner.vm)
        return session is not None and session.owner == owner

    def _has_ended(self, owner):
        """Return whether a later process of the same VM has started."""
        session = self._sessions.by_vm.get(owner.vm)
        return (
            session is not None
            and session.owner.incarnation > owner.incarnation
        )

    def _put(self, row):
        accounts_by_id = self._accounts_by_environment.get(row.environment, {})
        account = accounts_by_id.get(row.account)
        if account is not None and row.floor + row.lent > account.burst:
            floor = max(0.0, account.burst - row.lent)
            row = dataclasses.replace(row, floor=floor)
        self.by_key[row.environment, row.account] = row


def _first_row(index, command):
    return AccountRow(
        environment=command.environment,
        account=command.account,
        holder=command.owner,
        epoch=index,
        previous=0,
        number=0,
        floor=command.level,
        lent=0.0,
        released=False,
        clean=True,
    )
