"""Waits until a change is in force on every VM."""

import time

from bulrushrudder.commands import errors

WAIT_S = 15.0
POLL_S = 0.2


def wait_until_in_force(found, index, wait_s=WAIT_S):
    """Wait until every live VM has reached an index of the log.

    :param found: a Client.
    :param wait_s: seconds to wait at most.
    :raises CommandError: names the VMs that have not in time.
    """
    deadline_s = time.monotonic() + wait_s
    while True:
        behind = _behind(found, index)
        if not behind:
            return
        if time.monotonic() > deadline_s:
            raise errors.CommandError(
                errors.ExitCode.NOT_IN_FORCE,
                f'accepted, but after {wait_s:g} s not in force on: '
                + ', '.join(behind),
            )
        time.sleep(POLL_S)


def _behind(found, index):
    """Return the VMs with an open session that are behind an index."""
    content = found.call('GET', '/status').content
    return sorted(
        session['vm']
        for session in content['sessions']
        if session['index'] < index
    )
