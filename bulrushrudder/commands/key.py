"""The key commands: generate keys for callers."""

import json as json_format

from bulrushrudder.core import keys


def new(json=False):
    """Print a new key, and its digest for the document.

    :param json: whether to print JSON.
    """
    key = keys.new_key()
    digest = keys.digest(key)
    if json:
        print(json_format.dumps({'key': key, 'digest': digest}))
        return
    print(f'key:    {key}')
    print(f'digest: {digest}')
