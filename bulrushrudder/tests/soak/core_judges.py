"""What must hold of the core while its machines are replaced."""

import dataclasses
import itertools

from bulrushrudder.tests.soak import disruptions
from bulrushrudder.tests.soak import memberships
from bulrushrudder.tests.soak import record

RECOVER_S = 12.0
ACK_S = 4.0
ACK_PER_ROUTE_S = 0.003


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What was seen of the core.

    :param versions: the Versions that the operator sent.
    :param began_s: when all had started.
    :param times_s: seconds at which the core was disrupted.
    :param replaced: machines that were lost for good.
    :param ended_s: when the operator sent no more changes.
    :param dark_s: when all programs were killed; None if they were not.
    :param back_s: when all were started again.
    :param read_s: when the configuration was read back; None if it was not.
    :param membership: the last Membership on the disks after the series.
    :param after: the same with the disk lost that was lost at the end.
    :param sync_s: seconds that a sync of a disk took beyond the usual.
    :param seeds_gone: whether all started again with seeds that are gone.
    :param slowest_start_s: the longest time from the start of a program
        in the series to its first line.
    :param held_up_s: for how long the process was held up until the read
        came that was so most.
    """

    versions: tuple
    began_s: float
    times_s: tuple
    replaced: int
    ended_s: float
    dark_s: float | None = None
    back_s: float | None = None
    read_s: float | None = None
    membership: memberships.Membership = memberships.Membership()
    after: memberships.Membership = memberships.Membership()
    sync_s: float = 0.0
    seeds_gone: bool = False
    slowest_start_s: float = 0.0
    held_up_s: float = 0.0


def judge(seen, held_up_s):
    """Yield the Breaks of what was seen.

    :param held_up_s: function of the seconds at which a span began and
        ended; for how long the process was held up that was so most.
    """
    yield from _judge_acks(seen, held_up_s)
    yield from _judge_read_back(seen)


def longest_without_ack_s(seen):
    """Return the longest time without an acknowledgement in the series."""
    until_s = seen.ended_s if seen.dark_s is None else seen.dark_s
    acked_s = [
        version.acked_s
        for version in seen.versions
        if version.acked_s is not None and version.acked_s <= until_s
    ]
    pairs = itertools.pairwise([*sorted(acked_s), until_s])
    return max((later_s - at_s for at_s, later_s in pairs), default=0.0)


def read_back_s(seen):
    """Return how long it took to read the configuration back, or None."""
    if seen.read_s is None:
        return None
    return seen.read_s - seen.back_s


def summary(seen):
    """Return the figures of a seed by name."""
    took_s = read_back_s(seen)
    return {
        'replaced': seen.replaced,
        'longest_without_ack_s': round(longest_without_ack_s(seen), 2),
        'read_back_s': None if took_s is None else round(took_s, 2),
        'voters': seen.membership.voters,
        'gone': seen.membership.gone,
        'gone_after': seen.after.gone,
        'sync_s': round(seen.sync_s, 3),
        'seeds_gone': seen.seeds_gone,
        'slowest_start_s': round(seen.slowest_start_s, 1),
        'held_up_s': round(seen.held_up_s, 2),
    }


def _judge_read_back(seen):
    if seen.back_s is None:
        return
    took_s = read_back_s(seen)
    if took_s is None or took_s > RECOVER_S + seen.held_up_s:
        when = 'at all' if took_s is None else f'before {took_s:.1f} s'
        yield record.Break(
            'CONFIG',
            f'the configuration was not read back {when} after all were '
            f'back; last membership: {seen.after}',
        )


def _judge_acks(seen, held_up_s):
    """Yield a Break for each change that a stable core did not confirm."""
    for version, until_s in zip(seen.versions, _ends_s(seen), strict=True):
        if version.sent_s < seen.began_s:
            continue
        allowed_s = ACK_S + ACK_PER_ROUTE_S * len(version.services_by_path)
        stable_s = _longest_stable_s(seen, version.sent_s, until_s)
        if stable_s <= allowed_s:
            continue
        if stable_s > allowed_s + held_up_s(version.sent_s, until_s):
            yield record.Break(
                'ACKS',
                f'version {version.number} had no acknowledgement after '
                f'{stable_s:.2f} s in which the core was stable',
            )


def _ends_s(seen):
    """Return when each version was acknowledged or given up."""
    given_up_s = [version.sent_s for version in seen.versions[1:]]
    return [
        _end_s(seen, version, next_s)
        for version, next_s in zip(
            seen.versions, [*given_up_s, seen.ended_s], strict=True
        )
    ]


def _end_s(seen, version, next_s):
    if version.acked_s is not None:
        return version.acked_s
    if seen.dark_s is not None and version.sent_s < seen.dark_s:
        return min(next_s, seen.dark_s)
    return next_s


def _longest_stable_s(seen, began_s, ended_s):
    """Return the longest span in which the core was stable."""
    times_s = list(seen.times_s)
    if seen.back_s is not None:
        # The loss of most of the core doubles the time.
        times_s.append(seen.back_s + disruptions.CONTACT_S)
    stable_from_s = began_s
    longest_s = 0.0
    for at_s in sorted(times_s):
        longest_s = max(longest_s, min(at_s, ended_s) - stable_from_s)
        stable_from_s = max(stable_from_s, at_s + disruptions.CONTACT_S)
    return max(longest_s, ended_s - stable_from_s)
