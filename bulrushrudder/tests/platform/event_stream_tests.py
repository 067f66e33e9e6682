import unittest

from bulrushrudder.platform import event_stream

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\nid:3\ndata: c\n\n'


class EventSplitterTests(unittest.TestCase):
    def test_yields_same_events_for_any_chunk_size(self):
        for size in range(1, len(STREAM)):
            with self.subTest(size):
                splitter = event_stream.EventSplitter()
                events = []
                for start in range(0, len(STREAM), size):
                    events += splitter.feed(STREAM[start : start + size])
                self.assertEqual(b''.join(events), STREAM)
                self.assertEqual(len(events), 3)
                ids = [event_stream.event_id(event) for event in events]
                self.assertEqual(ids, ['1', '2', '3'])
                self.assertEqual(splitter.rest, b'')

    def test_keeps_incomplete_event(self):
        splitter = event_stream.EventSplitter()
        self.assertEqual(splitter.feed(b'id: 1\ndata'), [])
        self.assertEqual(splitter.rest, b'id: 1\ndata')

    def test_event_end_is_found_across_chunks(self):
        for end in (b'\n\n', b'\r\n\r\n', b'\r\r'):
            for cut in range(1, len(end)):
                with self.subTest(end=end, cut=cut):
                    splitter = event_stream.EventSplitter()
                    splitter.feed(b'data: a')
                    self.assertEqual(splitter.feed(end[:cut]), [])
                    self.assertEqual(
                        splitter.feed(end[cut:]), [b'data: a' + end]
                    )

    def test_rejects_event_without_end(self):
        splitter = event_stream.EventSplitter()
        splitter.feed(b'x' * event_stream.MAX_EVENT_BYTES)
        with self.assertRaises(event_stream.EventTooLongError):
            splitter.feed(b'x')
