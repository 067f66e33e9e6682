import contextlib
import errno
import os
import pathlib
import shutil
import tempfile
import unittest

from returns import result

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import types
from bulrushrudder.storage import errors
from bulrushrudder.storage import folder
from bulrushrudder.storage import store

MEMBERS = (types.Member(types.MemberId('m'), '127.0.0.1:1', voter=True),)


def entry(index, term=1, data=b'change'):
    return types.Entry(index, term, types.Command(data))


def save(*entries, term=1, vote='m'):
    return actions.SaveEntries(types.HardState('m', term, vote), entries)


def raising(error_number):
    def call(*_):
        raise OSError(error_number, 'injected fault')

    return call


class StoreTests(unittest.TestCase):
    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.path = pathlib.Path(temporary.name) / 'data'

    @contextlib.contextmanager
    def opened(self, calls=store.SYSTEM_CALLS):
        with contextlib.ExitStack() as stack:
            yield store.open_store(stack, self.path, calls).unwrap()

    def write(self, *batches):
        with self.opened() as opened:
            for batch in batches:
                self.assertEqual(
                    opened.store.save([batch]), result.Success(None)
                )

    def read(self):
        with self.opened() as opened:
            return opened.durable

    def failure(self):
        with contextlib.ExitStack() as stack:
            opened = store.open_store(stack, self.path)
            return opened.failure()

    def log_bytes(self):
        return (self.path / 'log').read_bytes().rstrip(b'\0')

    def test_reopen_returns_saved_hard_state_and_entries(self):
        self.write(save(entry(1), entry(2)), save(entry(2, 2), term=2))
        durable = self.read()
        self.assertEqual(durable.hard_state, types.HardState('m', 2, 'm'))
        self.assertEqual(durable.entries, (entry(1), entry(2, 2)))

    def test_data_folder_keeps_its_id_until_deleted(self):
        with self.opened() as first, contextlib.ExitStack() as stack:
            locked = store.open_store(stack, self.path).failure()
            self.assertIsInstance(locked, errors.FolderLocked)
        with self.opened() as second:
            self.assertEqual(second.id, first.id)
        shutil.rmtree(self.path)
        with self.opened() as wiped:
            self.assertNotEqual(wiped.id, first.id)

    def test_folder_keeps_permission_to_found_until_deleted(self):
        for permitted, addresses, expected in (
            (False, ('a', 'b'), False),
            (True, ('a', 'b'), True),
            (False, ('b', 'a'), True),
            (False, ('a', 'c'), False),
        ):
            founding = store.Founding(permitted, addresses)
            with contextlib.ExitStack() as stack:
                opened = store.open_store(stack, self.path, founding=founding)
                self.assertIs(opened.unwrap().may_found, expected)
        shutil.rmtree(self.path)
        with self.opened() as wiped:
            self.assertFalse(wiped.may_found)

    # Guards against a change that was counted for a commit after a restart,
    # although a loss of power could still take it from this disk.

    def test_entries_read_at_a_start_are_synced(self):
        self.write(save(entry(1)))
        synced = []

        def sync(descriptor):
            synced.append(os.readlink(f'/proc/self/fd/{descriptor}'))

        with self.opened(folder.SystemCalls(sync=sync)) as opened:
            self.assertEqual(opened.durable.entries, (entry(1),))
        self.assertIn(str(self.path / 'log'), synced)

    def test_missing_id_or_log_is_reported_as_damage(self):
        for name in ('id', 'log'):
            with self.subTest(name):
                shutil.rmtree(self.path, ignore_errors=True)
                self.write(save(entry(1)), save(entry(2)))
                (self.path / name).unlink()
                self.assertIsInstance(self.failure(), errors.FileDamaged)

    def test_truncated_log_keeps_all_whole_batches(self):
        ends = []
        with self.opened() as opened:
            for index in range(1, 6):
                opened.store.save([save(entry(index))])
                ends.append(opened.store.log_bytes)
        whole = self.log_bytes()
        for length in range(ends[0], len(whole)):
            (self.path / 'log').write_bytes(whole[:length])
            expected = sum(end <= length for end in ends)
            self.assertEqual(len(self.read().entries), expected, length)
            self.assertEqual(
                (self.path / 'log').stat().st_size, ends[expected - 1]
            )

    def test_flipped_byte_before_last_batch_is_reported_as_damage(self):
        with self.opened() as opened:
            for index in range(1, 4):
                last = opened.store.log_bytes
                opened.store.save([save(entry(index))])
        whole = self.log_bytes()
        for position in range(len(whole)):
            data = bytearray(whole)
            data[position] ^= 0x10
            (self.path / 'log').write_bytes(data)
            if position < last:
                failure = self.failure()
                self.assertIsInstance(failure, errors.FileDamaged, position)
            else:
                self.assertEqual(len(self.read().entries), 2, position)

    def test_torn_batch_is_discarded_entirely(self):
        self.write(save(entry(1)))
        retained = len(self.log_bytes())
        self.write(save(entry(2), entry(3), entry(4)))
        data = bytearray(self.log_bytes())
        data[retained + 30 : retained + 40] = bytes(10)
        (self.path / 'log').write_bytes(data)
        self.assertEqual(self.read().entries, (entry(1),))
        self.write(save(entry(2, 5)))
        self.assertEqual(self.read().entries, (entry(1), entry(2, 5)))

    def test_reopen_returns_snapshot_and_retained_entries(self):
        snapshot = types.Snapshot(3, 1, MEMBERS, b'state')
        self.write(save(*map(entry, range(1, 5))))
        for retained in ((entry(2), entry(3), entry(4)), (entry(4),), ()):
            with self.subTest(len(retained)):
                compaction = actions.SaveSnapshot(
                    types.HardState('m', 1, 'm'), snapshot, retained
                )
                self.write(compaction)
                durable = self.read()
                self.assertEqual(durable.snapshot, snapshot)
                self.assertEqual(durable.entries, retained)

    def test_crash_between_snapshot_and_log_recovers_snapshot(self):
        self.write(save(*map(entry, range(1, 6))))
        old = self.log_bytes()
        for term, retained in ((1, 5), (2, 0)):
            snapshot = types.Snapshot(3, term, MEMBERS, b'state')
            compaction = actions.SaveSnapshot(
                types.HardState('m', 1, 'm'), snapshot, ()
            )
            self.write(compaction)
            (self.path / 'log').write_bytes(old)
            durable = self.read()
            self.assertEqual(durable.snapshot, snapshot)
            self.assertEqual(len(durable.entries), retained)

    def test_damaged_snapshot_is_reported_as_damage(self):
        snapshot = types.Snapshot(3, 1, MEMBERS, b'state')
        self.write(
            actions.SaveSnapshot(types.HardState('m', 1, 'm'), snapshot, ())
        )
        data = bytearray((self.path / 'snapshot').read_bytes())
        data[-1] ^= 1
        (self.path / 'snapshot').write_bytes(data)
        self.assertIsInstance(self.failure(), errors.FileDamaged)

    def test_full_disk_refuses_large_batch_and_keeps_data(self):
        self.write(save(entry(1)))
        full = folder.SystemCalls(allocate=raising(errno.ENOSPC))
        with self.opened(full) as opened:
            reserved = opened.store.reserve(2 * 1024 * 1024).failure()
            self.assertIsInstance(reserved, errors.DiskFull)
            large = save(entry(2, data=bytes(2 * 1024 * 1024)))
            refused = opened.store.save([large]).failure()
            self.assertIsInstance(refused, errors.DiskFull)
            small = save(entry(2))
            self.assertEqual(opened.store.save([small]), result.Success(None))
        self.assertEqual(self.read().entries, (entry(1), entry(2)))

    def test_failed_allocation_is_not_reported_as_full_disk(self):
        self.write(save(entry(1)))
        broken = folder.SystemCalls(allocate=raising(errno.EIO))
        with self.opened(broken) as opened:
            reserved = opened.store.reserve(2 * 1024 * 1024).failure()
            self.assertIsInstance(reserved, errors.SyncFailed)

    def test_batch_is_written_again_after_disk_was_full_at_sync(self):
        self.write(save(entry(1)))
        calls = folder.SystemCalls(sync_data=raising(errno.ENOSPC))
        with self.opened(calls) as opened:
            batch = [save(entry(2, data=b'a')), save(entry(3))]
            refused = opened.store.save(batch).failure()
            self.assertIsInstance(refused, errors.DiskFull)
            opened.store._calls = opened.store._file._calls = (
                store.SYSTEM_CALLS
            )
            saved = opened.store.save(batch)
            self.assertEqual(saved, result.Success(None))
        expected = (entry(1), entry(2, data=b'a'), entry(3))
        self.assertEqual(self.read().entries, expected)

    def test_syncs_once_per_batch_and_twice_per_replaced_file(self):
        synced = []
        calls = folder.SystemCalls(
            sync_data=lambda _: synced.append('data'),
            sync=lambda _: synced.append('file or folder'),
        )
        self.write(save(entry(1)))
        with self.opened(calls) as opened:
            self.assertEqual(synced, ['file or folder'])
            synced.clear()
            opened.store.save([save(entry(2)), save(entry(3), entry(4))])
            self.assertEqual(synced, ['data'])
            snapshot = types.Snapshot(3, 1, MEMBERS, b'state')
            compaction = actions.SaveSnapshot(
                types.HardState('m', 1, 'm'), snapshot, ()
            )
            opened.store.save([compaction])
            self.assertEqual(synced[1:], 4 * ['file or folder'])

    def test_failed_sync_returns_sync_failed(self):
        self.write(save(entry(1)))
        broken = folder.SystemCalls(sync_data=raising(errno.EIO))
        with self.opened(broken) as opened:
            failed = opened.store.save([save(entry(2))]).failure()
            self.assertIsInstance(failed, errors.SyncFailed)
