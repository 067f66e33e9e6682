import os
import time
import unittest

from bulrushrudder.events import output


class LineWriterTests(unittest.TestCase):
    def setUp(self):
        self.reader, descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, descriptor)
        os.set_blocking(self.reader, False)
        self.now_s = 0.0
        self.rest = b''
        self.writer = output.LineWriter(
            descriptor, 'dropped {}'.format, lambda: self.now_s
        )

    def read(self):
        data = b''
        while True:
            try:
                data += os.read(self.reader, 65536)
            except BlockingIOError:
                self.rest += data
                complete, _, self.rest = self.rest.rpartition(b'\n')
                return complete.decode().splitlines()

    def drain(self):
        """Read and flush alternately until no data is left."""
        lines = self.read()
        while True:
            self.writer.flush()
            more = self.read()
            if not more:
                return lines
            lines += more

    def test_lines_arrive_in_order(self):
        for number in range(3):
            self.writer.write(f'line {number}')
        self.assertEqual(self.read(), ['line 0', 'line 1', 'line 2'])

    def test_writing_does_not_block_on_stalled_reader(self):
        line = 'x' * 1000
        began_s = time.monotonic()
        for number in range(2000):
            self.now_s = number / 100
            self.writer.write(line)
        self.assertLess(time.monotonic() - began_s, 5.0)
        read = self.drain()
        self.now_s += 1.0
        self.writer.write('after')
        read += self.drain()
        reports = [text for text in read if text.startswith('dropped')]
        dropped = sum(int(text.split()[-1]) for text in reports)
        written = [text for text in read if text == line]
        self.assertGreater(dropped, 0)
        self.assertEqual(len(written) + dropped, 2000)
        self.assertEqual(read[-1], 'after')

    def test_drops_and_counts_lines_above_rate_unless_urgent(self):
        for number in range(output.MAX_LINES_PER_S + 50):
            self.writer.write(f'line {number}')
        self.writer.write('warning', urgent=True)
        read = self.read()
        self.assertEqual(len(read), output.MAX_LINES_PER_S + 1)
        self.assertEqual(read[-1], 'warning')
        self.now_s = 1.0
        self.writer.write('next')
        self.assertEqual(self.read(), ['dropped 50', 'next'])

    # Guards against urgent lines that clients cause without end.

    def test_drops_and_counts_urgent_lines_of_a_kind_above_their_rate(self):
        for number in range(output.MAX_URGENT_LINES_PER_S + 50):
            self.writer.write(f'refused {number}', urgent=True, kind=1)
        self.writer.write('other', urgent=True, kind=2)
        read = self.read()
        self.assertEqual(len(read), output.MAX_URGENT_LINES_PER_S + 1)
        self.assertEqual(read[-1], 'other')
        self.now_s = 1.0
        self.writer.write('refused again', urgent=True, kind=1)
        self.assertEqual(self.read(), ['dropped 50', 'refused again'])
