"""Decides whether a call is admitted, and for which client account."""

import dataclasses

from returns import result

from bulrushrudder.core import keys
from bulrushrudder.core import outcomes
from bulrushrudder.documents import types

# An unknown route or key is a permanent refusal only if the view was
# confirmed as current within this time; control processes confirm it four
# times a second. Otherwise the refusal is temporary, with this delay.
CONFIRMED_VIEW_AGE_S = 1.0
# Other VMs serve the call at once.
SHUTTING_DOWN = outcomes.not_run(
    outcomes.Reason.SHUTTING_DOWN, 'this VM is shutting down', 0.05
)


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedCall:
    """An admitted call.

    :param account: the client account; None on an open route.
    :param key_digest: digest of the caller's key; None on an open route.
    """

    route: types.Route
    account: types.ClientAccount | None
    key_digest: str | None = None

    @property
    def call_tokens(self):
        """Return the charge in tokens for a call that states no tokens."""
        match self.route.target:
            case types.ServiceTarget(call_tokens=tokens):
                return tokens
        return self.account.call_tokens if self.account else 0

    @property
    def rank(self):
        """Return the rank of the account, or else of the route.

        None if neither has one.
        """
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        match self.route.target:
            case types.SplitTarget(rank=rank):
                return rank
        return None


def admit(view, now_s, draining, method, path, key, host=''):
    """Check a call against the document in force.

    :param view: the View of the log.
    :param draining: whether the process refuses new work.
    :param key: the caller's key, or None.
    :param host: host name that the caller addressed, or empty.
    :returns: an AdmittedCall, or a Refusal.
    """
    if draining:
        return result.Failure(SHUTTING_DOWN)
    route = view.lookups.route_of(method, path, host)
    if route is None and _may_be_outdated(view, now_s):
        return _refuse(
            outcomes.Reason.VIEW_STALE,
            'unknown route, but the document on this VM may be outdated',
            CONFIRMED_VIEW_AGE_S,
        )
    if route is None:
        return _refuse(
            outcomes.Reason.ROUTE_UNKNOWN, f'no route for {method} {path}'
        )
    if route.open:
        return result.Success(AdmittedCall(route, None))
    if key is None:
        return _refuse(
            outcomes.Reason.KEY_MISSING,
            'no bearer key in the Authorization header',
        )
    return _check_key(view, now_s, route, keys.digest(key))


def check_again(view, now_s, admitted):
    """Check an admitted call against the document in force now.

    :returns: an AdmittedCall, or a Refusal.
    """
    if admitted.key_digest is None:
        return result.Success(admitted)
    return _check_key(view, now_s, admitted.route, admitted.key_digest)


def with_earlier_attempts(refusal, route, call_id):
    """Extend a refusal to earlier attempts with the same call id.

    Until the register of calls has been consulted, an earlier attempt with
    the same id may have run, so the execution of the call is unknown. A
    call without an id or on a repeatable route keeps its refusal.

    :param route: the call's Route, or None if there is none.
    :param call_id: the caller's idempotency key, or None.
    """
    if call_id is None or (route is not None and route.repeatable):
        return refusal
    return dataclasses.replace(
        refusal,
        execution=outcomes.Execution.UNKNOWN,
        detail=(
            f'{refusal.detail}; an earlier attempt with this id may have run'
        ),
    )


def _may_be_outdated(view, now_s):
    """Return whether a newer document may be in force than the one here."""
    return (
        view.lookups.document.version == 0
        or view.age_s(now_s) > CONFIRMED_VIEW_AGE_S
    )


def _check_key(view, now_s, route, key_digest):
    if not view.is_fresh(now_s):
        return _refuse(
            outcomes.Reason.VIEW_STALE,
            'keys cannot be checked: no control process has confirmed the '
            'document in time',
            1.0,
        )
    account = view.lookups.account_of(key_digest)
    if account is None and _may_be_outdated(view, now_s):
        return _refuse(
            outcomes.Reason.VIEW_STALE,
            'unknown key, but the keys on this VM may be outdated',
            CONFIRMED_VIEW_AGE_S,
        )
    if account is None:
        return _refuse(outcomes.Reason.KEY_UNKNOWN, 'the key is not valid')
    if route.accounts and account.id not in route.accounts:
        return _refuse(
            outcomes.Reason.ROUTE_FORBIDDEN,
            'the client account may not use this route',
        )
    return result.Success(AdmittedCall(route, account, key_digest))


def _refuse(reason, detail, retry_after_s=None):
    return result.Failure(outcomes.not_run(reason, detail, retry_after_s))
