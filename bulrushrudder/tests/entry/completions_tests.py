import json
import unittest

from returns import result

from bulrushrudder.entry import completions

LARGE = 2 * completions.MAX_PARSED_WHOLE_BYTES


def parse(**fields):
    return completions.parse(json.dumps(fields).encode(), 'm')


class LargeBodyTests(unittest.TestCase):
    """Guards against bodies whose ignored fields take many times their size.

    Large bodies are read by another parser, which must tell the same.
    """

    def check(self, **fields):
        """Check that a field that is ignored changes nothing."""
        small = parse(**fields)
        large = parse(ignored=[0] * LARGE, **fields)
        self.assertEqual(type(small), type(large), fields)
        if isinstance(small, result.Success):
            self.assertEqual(small, large)
        return large

    def test_large_body_is_read_as_a_small_one(self):
        for fields in (
            {'prompt': 'a'},
            {'prompt': 'a', 'model': None, 'max_tokens': 3, 'stream': True},
            {'prompt': 'a', 'max_tokens': '3'},
            {'prompt': ''},
            {'prompt': 'a', 'max_tokens': 0},
            {'prompt': ['a']},
            {'prompt': 'a', 'model': 'other'},
            {},
        ):
            with self.subTest(fields):
                self.check(**fields)

    def test_large_prompt_is_whole(self):
        prompt = 'a,' * LARGE
        self.assertEqual(parse(prompt=prompt).unwrap().prompt, prompt)

    def test_large_body_that_is_no_request_is_malformed(self):
        for body in (b'[' * LARGE, b'{' + b' ' * LARGE, b'\xff' * LARGE):
            refused = completions.parse(body, 'm')
            self.assertIsInstance(refused, result.Failure)
