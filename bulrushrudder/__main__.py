"""The command line."""

import sys

import fire

from bulrushrudder.commands import control
from bulrushrudder.commands import demo
from bulrushrudder.commands import document
from bulrushrudder.commands import entry
from bulrushrudder.commands import errors
from bulrushrudder.commands import key
from bulrushrudder.commands import solo
from bulrushrudder.commands import status
from bulrushrudder.commands import version

COMMANDS = {
    'entry': entry.entry,
    'control': control.control,
    'solo': solo.solo,
    'demo': demo.demo,
    'document': document.Document,
    'key': key.Key,
    'status': status.status,
    'version': version.version,
}


def main(arguments=None):
    """Run the command line.

    :param arguments: words after the program's name.
    :returns: the exit code.
    """
    try:
        fire.Fire(COMMANDS, command=arguments, name='bulrushrudder')
    except errors.CommandError as error:
        return error.report()
    return int(errors.ExitCode.OK)


if __name__ == '__main__':
    sys.exit(main())
