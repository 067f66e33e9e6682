"""How a request must run, given the crashes recorded for it."""

from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import job

# A quarantine ends only if the request or part is found to be sound.
RETRY_AFTER_S = 30.0
QUARANTINED = outcomes.not_run(
    outcomes.Reason.REQUEST_QUARANTINED,
    'the request crashed backend servers and is not run again',
    RETRY_AFTER_S,
)
PART_QUARANTINED = outcomes.not_run(
    outcomes.Reason.REQUEST_QUARANTINED,
    'backend servers crashed under requests that share a part of the prompt',
    RETRY_AFTER_S,
)


def isolation_of(suspect):
    """Return the Isolation in which a request must run.

    :param suspect: the Suspect recorded for its fingerprint, or None.
    :returns: None if it is quarantined and must not run.
    """
    if suspect is None:
        return job.Isolation.NONE
    if suspect.quarantined:
        return None
    if suspect.isolated_crashes:
        return job.Isolation.ALONE
    return job.Isolation.NO_OTHER_SUSPECT
