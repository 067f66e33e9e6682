"""Logs which VM becomes, or ceases to be, the authority of an account."""

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.state import accounts


def record(command, outcome):
    """Log the outcome of a claim or a release; ignore other commands.

    :param command: the command that was proposed.
    :param outcome: its Outcome in the log.
    """
    match command:
        case accounts.ClaimAccount():
            event = catalogue.ACCOUNT_CLAIMED
        case accounts.ReleaseAccount():
            event = catalogue.ACCOUNT_RELEASED
        case _:
            return
    log.emit(
        event,
        account=command.account,
        epoch=command.epoch,
        outcome=str(outcome),
    )
