import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from bulrushrudder.documents import comparison
from bulrushrudder.documents import differences
from bulrushrudder.documents import lookups
from bulrushrudder.tests.builders import documents as builders

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)


def build_document(version, rate_by_id, cut):
    accounts = tuple(
        builders.account(account_id, rate=float(rate), key=account_id)
        for account_id, rate in rate_by_id.items()
    )
    document = builders.document(version, accounts)
    return dataclasses.replace(document, cut_on_withdrawal=cut)


MANY_ACCOUNTS = 500


def build_large_document(rate_by_number):
    rate_by_id = {
        f'{number:04}': rate for number, rate in rate_by_number.items()
    }
    return differences.canonical(build_document(1, rate_by_id, False))


DOCUMENTS = strategies.builds(
    build_document,
    strategies.integers(1, 9),
    strategies.dictionaries(
        strategies.sampled_from('abc'), strategies.integers(1, 2)
    ),
    strategies.booleans(),
)


class DifferencesTests(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
    def test_merged_difference_equals_both_in_sequence(self, a, b, c):
        first = differences.between(a, b)
        second = differences.between(b, c)
        merged = differences.merge(first, second)
        expected = differences.canonical(c)
        start = differences.canonical(a)
        self.assertEqual(differences.apply(start, merged), expected)
        in_steps = differences.apply(differences.apply(start, first), second)
        self.assertEqual(in_steps, expected)

    @SETTINGS
    @hypothesis.given(
        strategies.sets(strategies.integers(0, MANY_ACCOUNTS - 1), max_size=3),
        strategies.sets(strategies.integers(0, MANY_ACCOUNTS - 1), max_size=2),
        strategies.sets(
            strategies.integers(MANY_ACCOUNTS, 2 * MANY_ACCOUNTS), max_size=2
        ),
    )
    def test_applies_few_changes_to_large_document(
        self, changed, removed, added
    ):
        before = build_large_document(dict.fromkeys(range(MANY_ACCOUNTS), 1))
        rates = dict.fromkeys(range(MANY_ACCOUNTS), 1)
        rates.update(dict.fromkeys(changed | added, 2))
        for number in removed:
            rates.pop(number)
        after = build_large_document(rates)
        difference = differences.between(before, after)
        applied = differences.apply(before, difference)
        self.assertEqual(applied, after)
        updated = lookups.Lookups(before).with_difference(applied, difference)
        self.assertEqual(vars(updated), vars(lookups.Lookups(after)))

    def test_keeps_services_and_bounds_of_both_documents(self):
        plain = build_document(1, {'a': 1}, False)
        served = dataclasses.replace(
            plain,
            version=2,
            services=(builders.service('z'), builders.service('b')),
            bounds=builders.caller_bounds(),
        )
        changed = dataclasses.replace(
            served, version=3, services=(builders.service('b', 7),)
        )
        without = dataclasses.replace(plain, version=4)
        for before, after in (
            (plain, served),
            (served, dataclasses.replace(served, version=3)),
            (served, changed),
            (changed, without),
        ):
            with self.subTest(f'{before.version} to {after.version}'):
                difference = differences.between(before, after)
                applied = differences.apply(
                    differences.canonical(before), difference
                )
                self.assertEqual(applied, differences.canonical(after))
        merged = differences.merge(
            differences.between(served, changed),
            differences.between(changed, without),
        )
        self.assertEqual(
            differences.apply(differences.canonical(served), merged),
            differences.canonical(without),
        )


class ComparisonTests(unittest.TestCase):
    def test_compare_lists_changed_parts_and_fields(self):
        before = build_document(1, {'a': 1, 'b': 1}, False)
        after = build_document(2, {'a': 2, 'c': 1}, True)
        self.assertEqual(
            comparison.compare(before, after),
            (
                comparison.PartChange(
                    comparison.ChangeKind.CHANGED,
                    'account',
                    'a',
                    (comparison.FieldChange('rate', 1.0, 2.0),),
                ),
                comparison.PartChange(
                    comparison.ChangeKind.ADDED, 'account', 'c'
                ),
                comparison.PartChange(
                    comparison.ChangeKind.REMOVED, 'account', 'b'
                ),
                comparison.PartChange(
                    comparison.ChangeKind.CHANGED,
                    'document',
                    '',
                    (
                        comparison.FieldChange(
                            'cut_on_withdrawal', False, True
                        ),
                    ),
                ),
            ),
        )
