"""What a program does before it imports its command."""

import signal

SERVICES = ('entry', 'control', 'solo')


def ignore_hangup(args):
    """Ignore SIGHUP until a service can reload its settings.

    Its settings are read later than this, so nothing is missed. By default
    the signal would end the process while it imports its modules.

    :param args: the arguments after the program's name.
    """
    if args and args[0] in SERVICES:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
