"""Wait until a change is in force on all live VMs."""

import time

from bulrushrudder.commands import errors

DEFAULT_WAIT_S = 15.0
POLL_INTERVAL_S = 0.2


def wait_until_in_force(api, index, wait_s=DEFAULT_WAIT_S):
    """Wait until every live VM has reached an index of the log.

    :param api: a Client.
    :param wait_s: the timeout in seconds.
    :raises CommandError: names the VMs that are behind at the timeout.
    """
    deadline_s = time.monotonic() + wait_s
    while True:
        lagging_vms = _find_lagging_vms(api, index)
        if not lagging_vms:
            return
        if time.monotonic() > deadline_s:
            raise errors.CommandError(
                errors.ExitCode.NOT_IN_FORCE,
                f'accepted, but after {wait_s:g} s not in force on: '
                + ', '.join(lagging_vms),
            )
        time.sleep(POLL_INTERVAL_S)


def _find_lagging_vms(api, index):
    """Return the VMs with an open session that are behind an index."""
    content = api.call('GET', '/status').content
    return sorted(
        session['vm']
        for session in content['sessions']
        if session['index'] < index
    )
