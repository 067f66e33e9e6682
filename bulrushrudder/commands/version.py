"""The version command."""

import json as json_format

import bulrushrudder


def version(json=False):
    """Print the version of bulrushrudder.

    :param json: whether to print JSON.
    """
    if json:
        print(json_format.dumps({'version': bulrushrudder.__version__}))
        return
    print(bulrushrudder.__version__)
