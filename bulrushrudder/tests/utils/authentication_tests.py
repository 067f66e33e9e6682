import types
import unittest

from bulrushrudder.utils import authentication

SECRET = b'0123456789abcdef'


def request(authorization):
    """Return a request with one header, as aiohttp delivers it."""
    return types.SimpleNamespace(headers={'Authorization': authorization})


class AuthenticationTests(unittest.TestCase):
    def test_accepts_only_exact_secret(self):
        cases = (
            ('Bearer 0123456789abcdef', True),
            ('bearer  0123456789abcdef ', True),
            ('Bearer 0123456789abcde', False),
            ('Bearer 0123456789abcdef0', False),
            ('0123456789abcdef', False),
            ('Bearer \udcff\udcfe', False),
            ('Bearer \u20ac', False),
            ('', False),
        )
        for given, expected in cases:
            with self.subTest(given.encode(errors='backslashreplace')):
                accepted = authentication.presents_secret(
                    request(given), SECRET
                )
                self.assertEqual(accepted, expected)

    def test_other_scheme_has_no_bearer_token(self):
        self.assertIsNone(authentication.bearer_token(request('Basic x')))
