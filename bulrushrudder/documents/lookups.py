"""Indexes of a document by id, path and key digest."""

import copy

from bulrushrudder.documents import types


class Lookups:
    """Immutable indexes of one document.

    :param document: the document that is indexed.
    """

    def __init__(self, document):
        self.document = document
        self.accounts_by_id = {a.id: a for a in document.accounts}
        self.models_by_id = {m.id: m for m in document.models}
        self.routes_by_path = _routes_by_path(document)
        self.services_by_id = {s.id: s for s in document.services}
        self.account_ids_by_key_digest = {}
        for account in document.accounts:
            self._add_keys(account)

    def with_difference(self, document, difference):
        """Return the Lookups of the next version of the document.

        The indexes of accounts, of which there may be many, are updated
        by the changes instead of being rebuilt.

        :param document: the document with the Difference applied.
        :param difference: the Difference from the current document.
        """
        updated = copy.copy(self)
        updated.document = document
        updated.models_by_id = {m.id: m for m in document.models}
        updated.routes_by_path = _routes_by_path(document)
        updated.services_by_id = {s.id: s for s in document.services}
        updated._apply_account_changes(difference)
        return updated

    def _apply_account_changes(self, difference):
        if not difference.accounts and not difference.removed_accounts:
            return
        self.accounts_by_id = self.accounts_by_id.copy()
        self.account_ids_by_key_digest = self.account_ids_by_key_digest.copy()
        for account_id in difference.removed_accounts:
            self._remove_keys(self.accounts_by_id.pop(account_id, None))
        for account in difference.accounts:
            self._remove_keys(self.accounts_by_id.get(account.id))
            self.accounts_by_id[account.id] = account
        for account in difference.accounts:
            self._add_keys(account)

    def _add_keys(self, account):
        for key_digest in account.key_digests:
            self.account_ids_by_key_digest[key_digest] = account.id

    def _remove_keys(self, account):
        if account is None:
            return
        for key_digest in account.key_digests:
            self.account_ids_by_key_digest.pop(key_digest, None)

    def account_of(self, key_digest):
        """Return the account with a key digest, or None."""
        account_id = self.account_ids_by_key_digest.get(key_digest)
        return self.accounts_by_id.get(account_id)

    def route_of(self, method, path, host=''):
        """Return the route of a call, or None.

        An exact match of method and path takes precedence over the
        longest prefix.

        :param host: the host that the caller addressed.
        """
        exact = self.routes_by_path.get((method, path))
        return exact or self._route_by_prefix(host, path)

    def _route_by_prefix(self, host, path):
        end = path.rfind('/') + 1
        while end > 0:
            route = self.routes_by_path.get((host, path[:end], True))
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None


def _routes_by_path(document):
    return {_key(route): route for route in document.routes}


def _key(route):
    if route.prefix:
        return route.host, route.path, True
    return route.method, route.path


EMPTY_DOCUMENT = types.Document(
    version=0,
    accounts=(),
    models=(),
    routes=(),
    register=types.RegisterLimits(
        retention_s=86400.0, max_answer_bytes=65536, max_entries=10000
    ),
    cut_on_withdrawal=False,
)
EMPTY_LOOKUPS = Lookups(EMPTY_DOCUMENT)
