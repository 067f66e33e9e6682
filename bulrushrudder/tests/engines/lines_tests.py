import unittest

from bulrushrudder.engines import lines

STREAM = b'data: a\n\ndata: b\r\ndata: c\n'


class LineSplitterTests(unittest.TestCase):
    def test_yields_same_lines_for_any_chunk_size(self):
        for size in range(1, len(STREAM) + 1):
            with self.subTest(size):
                splitter = lines.LineSplitter()
                found = []
                for start in range(0, len(STREAM), size):
                    found += splitter.feed(STREAM[start : start + size])
                self.assertEqual(found, STREAM.split(b'\n')[:-1])

    def test_rejects_line_without_end(self):
        splitter = lines.LineSplitter(max_bytes=100)
        splitter.feed(b'short\n' + b'x' * 100)
        with self.assertRaises(lines.LineTooLongError):
            splitter.feed(b'x')
