import dataclasses
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bulrushrudder.documents import differences
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.protocol import codec
from bulrushrudder.state import documents
from bulrushrudder.state import results
from bulrushrudder.tests.builders import documents as builders

TRIAL = types.Environment.TRIAL
PRODUCTION = types.Environment.PRODUCTION
MANY_ACCOUNTS = 17_000
MAX_PENDING_VERSIONS = 2
# Documents without cut_on_withdrawal give each account the key of the next,
# so that keys move between accounts from one document to another.
NEXT_ID = dict(zip('abcd', 'bcda', strict=True))
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)


@dataclasses.dataclass(frozen=True)
class AcceptedChange:
    environment: types.Environment
    document: types.Document
    digest: str
    operator: str
    index: int


class Oracle:
    """The expected state: a list of accepted changes with full documents."""

    def __init__(self):
        self.changes = []

    def of(self, environment):
        return [c for c in self.changes if c.environment is environment]

    def known(self, environment, version):
        for change in self.of(environment):
            if change.document.version == version:
                return change
        return None

    def in_force(self, environment):
        changes = self.of(environment)
        return changes[-1].document if changes else lookups.EMPTY_DOCUMENT

    def expected(self, environment, version, digest):
        """Return the expected kind of result and the change it refers to.

        :returns: 'new' and None, or a kind with a change: 'repeated' for
            a resend, 'conflict' for another digest of a known version,
            'older' for an older version.
        """
        known = self.known(environment, version)
        if known is not None:
            kind = 'repeated' if known.digest == digest else 'conflict'
            return kind, known
        if version < self.in_force(environment).version:
            return 'older', self.of(environment)[-1]
        return 'new', None


class DocumentsFuzz(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.table = documents.Documents(
            max_pending_versions=MAX_PENDING_VERSIONS
        )
        self.oracle = Oracle()
        self.index = 0
        self.bases = [(0, '', lookups.EMPTY_DOCUMENT)]
        self.sent = []

    def propose(self, command):
        self.index += 1
        decoded = codec.decode(codec.encode(command)).unwrap()
        return self.table.apply(self.index, decoded)

    def check_known_version(self, kind, known, outcome):
        if kind == 'repeated':
            self.assertEqual(
                outcome, results.Accepted(known.index, repeated=True)
            )
            return
        self.assertIsInstance(outcome, results.Rejected)
        self.assertEqual(outcome.winner, known.operator)

    def assertEqual(self, first, second):
        assert first == second, f'{first!r} != {second!r}'

    def assertIsInstance(self, value, cls):
        assert isinstance(value, cls), repr(value)

    @stateful.rule(
        step=strategies.integers(-1, 3),
        ids=strategies.sets(strategies.sampled_from('abcd')),
        rate=strategies.integers(1, 2),
        cut=strategies.booleans(),
        stale=strategies.integers(0, 2),
        operator=strategies.sampled_from(('ana', 'nikos')),
    )
    def submit(self, step, ids, rate, cut, stale, operator):
        version = max(1, self.oracle.in_force(TRIAL).version + step)
        accounts = tuple(
            builders.account(
                account_id,
                rate=float(rate),
                key=account_id if cut else NEXT_ID[account_id],
            )
            for account_id in sorted(ids, reverse=True)
        )
        document = dataclasses.replace(
            builders.document(version, accounts), cut_on_withdrawal=cut
        )
        base = self.bases[max(0, len(self.bases) - 1 - stale)]
        self.submit_and_check(document, base, operator)

    def submit_and_check(self, document, base, operator):
        base_version, base_digest, base_document = base
        digest = f'digest of {document!r}'
        command = documents.SubmitDocument(
            base_version,
            base_digest,
            differences.between(base_document, document),
            digest,
            operator,
        )
        self.sent.append((command, document, base))
        kind, known = self.oracle.expected(TRIAL, document.version, digest)
        outcome = self.propose(command)
        if kind != 'new':
            self.check_known_version(kind, known, outcome)
        elif base != self.bases[-1]:
            self.assertIsInstance(outcome, results.Outdated)
        else:
            self.assertEqual(outcome, results.Accepted(self.index))
            self.accept(TRIAL, document, digest, operator)
            self.bases.append((document.version, digest, document))

    def accept(self, environment, document, digest, operator):
        self.oracle.changes.append(
            AcceptedChange(environment, document, digest, operator, self.index)
        )

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=strategies.data())
    def resend(self, data):
        command, document, base = data.draw(strategies.sampled_from(self.sent))
        self.submit_and_check(document, base, command.operator)

    @stateful.precondition(lambda self: self.oracle.of(TRIAL))
    @stateful.rule(data=strategies.data(), wrong=strategies.booleans())
    def promote(self, data, wrong):
        change = data.draw(strategies.sampled_from(self.oracle.of(TRIAL)))
        digest = 'never accepted' if wrong else change.digest
        version = change.document.version
        kind, known = self.oracle.expected(PRODUCTION, version, digest)
        promotable = self.promotable()
        outcome = self.propose(
            documents.PromoteDocument(version, digest, 'ana')
        )
        if kind != 'new':
            self.check_known_version(kind, known, outcome)
        elif change not in promotable or wrong:
            self.assertIsInstance(outcome, results.Rejected)
        else:
            self.assertEqual(outcome, results.Accepted(self.index))
            self.accept(PRODUCTION, change.document, digest, 'ana')

    def promotable(self):
        """Return the trial changes that can still be promoted.

        These are the latest ones after production's version; earlier
        ones were merged.
        """
        version = self.oracle.in_force(PRODUCTION).version
        later = [
            c for c in self.oracle.of(TRIAL) if c.document.version > version
        ]
        return later[-MAX_PENDING_VERSIONS:]

    @stateful.rule()
    def restore_from_snapshot(self):
        data = codec.encode(self.table.snapshot())
        self.table = documents.Documents(
            max_pending_versions=MAX_PENDING_VERSIONS
        )
        self.table.restore(codec.decode(data).unwrap())

    @stateful.invariant()
    def documents_match_oracle(self):
        for environment in types.Environment:
            expected = self.oracle.in_force(environment)
            in_force = self.table.in_force(environment)
            self.assertEqual(in_force, differences.canonical(expected))
            self.assertEqual(
                vars(self.table.lookups(environment)),
                vars(lookups.Lookups(in_force)),
            )
            last = self.table.latest_entry(environment)
            self.assertEqual(last.version if last else 0, expected.version)

    @stateful.invariant()
    def history_matches_oracle(self):
        for environment in types.Environment:
            expected = [
                documents.HistoryEntry(
                    c.document.version, c.digest, c.operator, c.index
                )
                for c in self.oracle.of(environment)
            ]
            history = self.table.history_by_environment[environment]
            self.assertEqual(history, expected)


class DocumentsFuzzTests(unittest.TestCase):
    def test_table_matches_list_of_accepted_changes(self):
        stateful.run_state_machine_as_test(DocumentsFuzz, settings=SETTINGS)


class SizeTests(unittest.TestCase):
    def submission_bytes(self, count):
        """Return the encoded size of a submission that changes one account.

        :param count: number of accounts in the document.
        """
        accounts = tuple(
            builders.account(f'account-{number:05}', key=f'key {number}')
            for number in range(count)
        )
        before = builders.document(1, accounts)
        changed = dataclasses.replace(accounts[count // 2], rate=200.0)
        after = builders.document(
            2, (*accounts[: count // 2], changed, *accounts[count // 2 + 1 :])
        )
        command = documents.SubmitDocument(
            1, 'sha256:base', differences.between(before, after), 'd', 'ana'
        )
        return len(codec.encode(command))

    def test_submission_size_is_independent_of_document_size(self):
        small_bytes = self.submission_bytes(10)
        self.assertEqual(self.submission_bytes(MANY_ACCOUNTS), small_bytes)
        self.assertLess(small_bytes, 1000)

    def test_history_and_pending_versions_are_limited(self):
        table = documents.Documents(
            max_history_entries=10, max_pending_versions=5, max_pending_items=8
        )
        base = ('', lookups.EMPTY_DOCUMENT)
        for version in range(1, 100):
            accounts = tuple(
                builders.account(f'a{version + n}', key=f'{version + n}')
                for n in range(3)
            )
            document = builders.document(version, accounts)
            digest, before = base
            command = documents.SubmitDocument(
                version - 1,
                digest,
                differences.between(before, document),
                f'digest {version}',
                'ana',
            )
            table.apply(version, command)
            base = (command.digest, document)
        snapshot = table.snapshot()
        expected = differences.canonical(document)
        self.assertEqual(table.in_force(TRIAL), expected)
        self.assertEqual(len(snapshot.trial_history), 10)
        self.assertLessEqual(len(snapshot.pending), 5)
        items = [p.difference.size for p in snapshot.pending]
        self.assertLessEqual(sum(items[1:]), 8)


class AdoptionTests(unittest.TestCase):
    def adopt(self, table, index, document):
        command = documents.AdoptDocument(document, b'{}', f'd{index}', 'ana')
        return table.apply(index, command)

    def test_snapshot_of_adopted_document_restores_same_documents(self):
        table = documents.Documents()
        self.adopt(table, 1, builders.document(1))
        accounts = (builders.account('z'), builders.account('b', key='k2'))
        submitted = builders.document(2, accounts)
        latest = table.latest_entry(TRIAL)
        table.apply(
            2,
            documents.SubmitDocument(
                latest.version,
                latest.digest,
                differences.between(table.in_force(TRIAL), submitted),
                'digest 2',
                'ana',
            ),
        )
        self.assertEqual(
            table.in_force(TRIAL), differences.canonical(submitted)
        )
        adopted = builders.document(3, accounts[:1])
        self.adopt(table, 3, adopted)
        restored = documents.Documents()
        restored.restore(table.snapshot())
        for environment in (TRIAL, PRODUCTION):
            with self.subTest(environment.value):
                self.assertEqual(table.in_force(environment), adopted)
                self.assertEqual(
                    restored.in_force(environment),
                    table.in_force(environment),
                )

    def test_adopted_document_may_be_replaced_by_submitted_one(self):
        table = documents.Documents()
        unsorted = (builders.account('z'), builders.account('b', key='k2'))
        self.adopt(table, 1, builders.document(1, unsorted))
        submitted = builders.document(2, unsorted[:1])
        latest = table.latest_entry(TRIAL)
        outcome = table.apply(
            2,
            documents.SubmitDocument(
                latest.version,
                latest.digest,
                differences.between(table.in_force(TRIAL), submitted),
                'digest 2',
                'ana',
            ),
        )
        self.assertIsInstance(outcome, results.Accepted)
        self.assertEqual(table.in_force(TRIAL), submitted)
