"""Finding accounts and routes in a document by key."""

from bulrushrudder.documents import types


class Lookups:
    """Indexes of one document, built once a change.

    :param document: the document that is indexed.
    """

    def __init__(self, document):
        self.document = document
        self.accounts_by_id = {a.id: a for a in document.accounts}
        self.models_by_id = {m.id: m for m in document.models}
        self.routes_by_path = {(r.method, r.path): r for r in document.routes}
        self.account_ids_by_key_digest = {
            key_digest: account.id
            for account in document.accounts
            for key_digest in account.key_digests
        }

    def account_of(self, key_digest):
        """Return the account that a key belongs to, or None."""
        account_id = self.account_ids_by_key_digest.get(key_digest)
        return self.accounts_by_id.get(account_id)

    def route_of(self, method, path):
        """Return the route of a call, or None."""
        return self.routes_by_path.get((method, path))


EMPTY = types.Document(
    version=0,
    accounts=(),
    models=(),
    routes=(),
    register=types.Register(
        retention_s=86400.0, max_answer_bytes=65536, max_entries=10000
    ),
    cut_on_withdrawal=False,
)
