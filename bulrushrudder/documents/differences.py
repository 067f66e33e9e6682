"""Differences between documents, so that only changes are replicated."""

import bisect
import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.documents import types

# A sequence is rebuilt if more than one item in this many changes, and
# edited by binary search otherwise.
REBUILD_RATIO = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """The changes that turn one document into another.

    :param version: version of the resulting document.
    :param accounts: client accounts that were added or changed.
    :param removed_accounts: ids of client accounts that were removed.
    :param register: the new RegisterLimits, or None if it is unchanged.
    :param bounds: the new CallerBounds, or None if they are unchanged.
    :param removes_bounds: whether the resulting document has no bounds.
    """

    version: int
    accounts: tuple[types.ClientAccount, ...]
    removed_accounts: tuple[ids.AccountId, ...]
    models: tuple[types.Model, ...]
    removed_models: tuple[ids.ModelId, ...]
    routes: tuple[types.Route, ...]
    removed_routes: tuple[ids.RouteId, ...]
    register: types.RegisterLimits | None
    cut_on_withdrawal: bool
    services: tuple[types.Service, ...] = ()
    removed_services: tuple[ids.ServiceId, ...] = ()
    bounds: types.CallerBounds | None = None
    removes_bounds: bool = False

    @property
    def size(self):
        """Return the number of items that are added, changed or removed."""
        return (
            len(self.accounts)
            + len(self.removed_accounts)
            + len(self.models)
            + len(self.removed_models)
            + len(self.routes)
            + len(self.removed_routes)
            + len(self.services)
            + len(self.removed_services)
        )


def canonical(document):
    """Return the document with its items sorted by id."""
    return dataclasses.replace(
        document,
        accounts=_sorted_by_id(_by_id(document.accounts)),
        models=_sorted_by_id(_by_id(document.models)),
        routes=_sorted_by_id(_by_id(document.routes)),
        services=_sorted_by_id(_by_id(document.services)),
    )


def between(before, after):
    """Return the Difference that turns one document into another."""
    accounts, removed_accounts = _find_changes(before.accounts, after.accounts)
    models, removed_models = _find_changes(before.models, after.models)
    routes, removed_routes = _find_changes(before.routes, after.routes)
    services, removed_services = _find_changes(before.services, after.services)
    same_register = before.register == after.register
    same_bounds = before.bounds == after.bounds
    return Difference(
        version=after.version,
        accounts=accounts,
        removed_accounts=removed_accounts,
        models=models,
        removed_models=removed_models,
        routes=routes,
        removed_routes=removed_routes,
        register=None if same_register else after.register,
        cut_on_withdrawal=after.cut_on_withdrawal,
        services=services,
        removed_services=removed_services,
        bounds=None if same_bounds else after.bounds,
        removes_bounds=after.bounds is None,
    )


def apply(document, difference):
    """Return a document with a Difference applied.

    :param document: a canonical Document.
    """
    return types.Document(
        version=difference.version,
        accounts=_apply_changes(
            document.accounts, difference.accounts, difference.removed_accounts
        ),
        models=_apply_changes(
            document.models, difference.models, difference.removed_models
        ),
        routes=_apply_changes(
            document.routes, difference.routes, difference.removed_routes
        ),
        register=difference.register or document.register,
        cut_on_withdrawal=difference.cut_on_withdrawal,
        services=_apply_changes(
            document.services, difference.services, difference.removed_services
        ),
        bounds=None
        if difference.removes_bounds
        else difference.bounds or document.bounds,
    )


def merge(first, second):
    """Return one Difference with the effect of two in sequence."""
    accounts, removed_accounts = _merge_changes(
        (first.accounts, first.removed_accounts),
        (second.accounts, second.removed_accounts),
    )
    models, removed_models = _merge_changes(
        (first.models, first.removed_models),
        (second.models, second.removed_models),
    )
    routes, removed_routes = _merge_changes(
        (first.routes, first.removed_routes),
        (second.routes, second.removed_routes),
    )
    services, removed_services = _merge_changes(
        (first.services, first.removed_services),
        (second.services, second.removed_services),
    )
    return Difference(
        version=second.version,
        accounts=accounts,
        removed_accounts=removed_accounts,
        models=models,
        removed_models=removed_models,
        routes=routes,
        removed_routes=removed_routes,
        register=second.register or first.register,
        cut_on_withdrawal=second.cut_on_withdrawal,
        services=services,
        removed_services=removed_services,
        bounds=second.bounds or first.bounds,
        removes_bounds=second.removes_bounds,
    )


def _by_id(items):
    return {item.id: item for item in items}


def _sorted_by_id(items_by_id):
    return tuple(items_by_id[key] for key in sorted(items_by_id))


def _find_changes(before, after):
    """Return the items added or changed, and the ids removed."""
    before_by_id = _by_id(before)
    after_by_id = _by_id(after)
    changed = {
        key: item
        for key, item in after_by_id.items()
        if before_by_id.get(key) != item
    }
    removed = sorted(before_by_id.keys() - after_by_id.keys())
    return _sorted_by_id(changed), tuple(removed)


def _apply_changes(items, changed, removed):
    """Return items that are sorted by id with changes applied."""
    changes = len(changed) + len(removed)
    if not changes:
        return items
    if changes * REBUILD_RATIO > len(items):
        return _rebuild(items, changed, removed)
    result = list(items)
    for item in changed:
        _insert_or_replace(result, item)
    for key in removed:
        _remove(result, key)
    return tuple(result)


def _rebuild(items, changed, removed):
    result = {**_by_id(items), **_by_id(changed)}
    for key in removed:
        result.pop(key, None)
    return _sorted_by_id(result)


def _insert_or_replace(items, item):
    position = bisect.bisect_left(items, item.id, key=_id_of)
    if position < len(items) and items[position].id == item.id:
        items[position] = item
        return
    items.insert(position, item)


def _remove(items, key):
    position = bisect.bisect_left(items, key, key=_id_of)
    if position < len(items) and items[position].id == key:
        del items[position]


def _id_of(item):
    return item.id


def _merge_changes(first, second):
    """Merge two pairs of changed items and removed ids."""
    first_changed, first_removed = first
    second_changed, second_removed = second
    changed = {**_by_id(first_changed), **_by_id(second_changed)}
    for key in second_removed:
        changed.pop(key, None)
    removed = {*first_removed, *second_removed} - changed.keys()
    return _sorted_by_id(changed), tuple(sorted(removed))
