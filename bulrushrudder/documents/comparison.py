"""Lists the differences between two documents for operators."""

import dataclasses
import enum

from bulrushrudder.documents import differences


class ChangeKind(enum.Enum):
    """How a part of the document differs."""

    ADDED = 'added'
    CHANGED = 'changed'
    REMOVED = 'removed'


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """A field that differs.

    :param before: value in the first document.
    :param after: value in the second document.
    """

    name: str
    before: object
    after: object


@dataclasses.dataclass(frozen=True, slots=True)
class PartChange:
    """A client account, model, route or section that differs.

    :param part: account, model, route, at_most_once or document.
    :param id: id of the part; empty for at_most_once and document.
    :param fields: the fields that differ, if the part was changed.
    """

    kind: ChangeKind
    part: str
    id: str
    fields: tuple[FieldChange, ...] = ()


def compare(before, after):
    """Return the PartChanges between two documents, in a fixed order.

    Versions are not compared.
    """
    difference = differences.between(before, after)
    return (
        *_part_changes(
            'account',
            before.accounts,
            difference.accounts,
            difference.removed_accounts,
        ),
        *_part_changes(
            'model',
            before.models,
            difference.models,
            difference.removed_models,
        ),
        *_part_changes(
            'route',
            before.routes,
            difference.routes,
            difference.removed_routes,
        ),
        *_changed_part('at_most_once', '', before.register, after.register),
        *_changed_part(
            'document', '', _DocumentSettings(before), _DocumentSettings(after)
        ),
    )


def _part_changes(part, before, changed, removed):
    before_by_id = {item.id: item for item in before}
    for item in changed:
        earlier = before_by_id.get(item.id)
        if earlier is None:
            yield PartChange(ChangeKind.ADDED, part, item.id)
        else:
            yield from _changed_part(part, item.id, earlier, item)
    for key in removed:
        yield PartChange(ChangeKind.REMOVED, part, key)


def _changed_part(part, key, before, after):
    fields = tuple(_differing_fields(before, after))
    if fields:
        yield PartChange(ChangeKind.CHANGED, part, key, fields)


def _differing_fields(before, after):
    for field in dataclasses.fields(after):
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if old != new:
            yield FieldChange(field.name, old, new)


@dataclasses.dataclass(frozen=True, slots=True, init=False)
class _DocumentSettings:
    """The settings at the top level of a document."""

    cut_on_withdrawal: bool

    def __init__(self, document):
        object.__setattr__(
            self, 'cut_on_withdrawal', document.cut_on_withdrawal
        )
