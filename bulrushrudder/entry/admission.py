"""Decides whether a call may enter, and for which client account."""

import dataclasses

from returns import result

from bulrushrudder.core import keys
from bulrushrudder.core import outcomes
from bulrushrudder.documents import types

# A route or key that is not known is refused for good only by a view that
# was current this lately; vouchers come four times a second.
CONFIRMED_VIEW_AGE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedCall:
    """A call that may enter.

    :param account: the client account; None on an open route.
    :param key_digest: of the caller's key; None on an open route.
    """

    route: types.Route
    account: types.ClientAccount | None
    key_digest: str | None = None

    @property
    def call_tokens(self):
        """Return what a call costs that names no tokens."""
        match self.route.target:
            case types.ServiceTarget(call_tokens=tokens):
                return tokens
        return self.account.call_tokens if self.account else 0


def admit(view, now_s, draining, method, path, key, host=''):
    """Check a call against the document in force.

    :param view: the View of the log.
    :param draining: whether the process takes no new work.
    :param key: the caller's key, or None.
    :param host: whom the caller addressed.
    :returns: an Admitted, or a Refusal.
    """
    if draining:
        return _refuse(
            outcomes.Reason.SHUTTING_DOWN, 'this VM shuts down', 1.0
        )
    route = view.lookups.route_of(method, path, host)
    if route is None and _may_be_outdated(view, now_s):
        return _refuse(
            outcomes.Reason.VIEW_STALE,
            'the document may be older',
            CONFIRMED_VIEW_AGE_S,
        )
    if route is None:
        return _refuse(
            outcomes.Reason.ROUTE_UNKNOWN, f'no route for {method} {path}'
        )
    if route.open:
        return result.Success(AdmittedCall(route, None))
    if key is None:
        return _refuse(outcomes.Reason.KEY_MISSING, 'no key was presented')
    return _check_key(view, now_s, route, keys.digest(key))


def check_again(view, now_s, admitted):
    """Check a call that was admitted against the document in force now.

    :returns: an Admitted, or a Refusal.
    """
    if admitted.key_digest is None:
        return result.Success(admitted)
    return _check_key(view, now_s, admitted.route, admitted.key_digest)


def with_earlier_tries(refusal, route, call_id):
    """Return what a refusal says of a call, all its tries included.

    Before the register of calls is asked, nobody can say whether an
    earlier try under the same id ran.

    :param route: the call's Route, or None where none is known.
    :param call_id: what tells the caller's calls apart, or None.
    """
    if call_id is None or (route is not None and route.repeatable):
        return refusal
    return dataclasses.replace(
        refusal,
        execution=outcomes.Execution.UNKNOWN,
        detail=f'{refusal.detail}; an earlier try under this id may have run',
    )


def _may_be_outdated(view, now_s):
    """Return whether a newer document may know what this one does not."""
    return (
        view.lookups.document.version == 0
        or view.age_s(now_s) > CONFIRMED_VIEW_AGE_S
    )


def _check_key(view, now_s, route, key_digest):
    if not view.fresh(now_s):
        return _refuse(
            outcomes.Reason.VIEW_STALE, 'keys cannot be checked now', 1.0
        )
    account = view.lookups.account_of(key_digest)
    if account is None and _may_be_outdated(view, now_s):
        return _refuse(
            outcomes.Reason.VIEW_STALE,
            'the keys may be older',
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
