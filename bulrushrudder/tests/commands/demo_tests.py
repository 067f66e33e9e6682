import contextlib
import io
import unittest

from bulrushrudder.commands import demo


class DemoTests(unittest.TestCase):
    def test_demo_prints_responses_of_each_kind(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            demo.demo()
        text = output.getvalue()
        self.assertIn('completion: 200', text)
        self.assertIn('filing: 201', text)
        self.assertIn('without a key: 401', text)
