"""Evacuated availability zones in the replicated state.

Evacuations are stored as targets of pools with reserved names, so that the
previous build replicates them too. It sees pools without servers.
"""

from bulrushrudder.core import ids
from bulrushrudder.state import pool_targets
from bulrushrudder.state import results

# The ids of models in documents contain neither blanks nor slashes.
RESERVED_PREFIX = 'evacuated zone/'
MAX_ZONE_CHARACTERS = 63
EXPECTED_NAME = (
    f'expected the name of a zone, 1 to {MAX_ZONE_CHARACTERS} characters'
)
_EVACUATED = 1
_IN_SERVICE = 0


def is_zone_name(name):
    """Return whether a zone can have a name."""
    if not 0 < len(name) <= MAX_ZONE_CHARACTERS:
        return False
    # Bytes of a path that are not UTF-8 become surrogates, which cannot be
    # stored.
    return not any('\ud800' <= character <= '\udfff' for character in name)


def evacuate(zone):
    """Return the command that evacuates a zone."""
    return _command(zone, _EVACUATED)


def restore(zone):
    """Return the command that puts a zone back in service."""
    return _command(zone, _IN_SERVICE)


def is_stored_in(target):
    """Return whether a SetPrefillTarget is about a zone, not a pool."""
    return target.model.startswith(RESERVED_PREFIX)


class Evacuations:
    """The zones whose servers get no new work.

    :ivar zones: names of the evacuated zones.
    :ivar restored_index_by_zone: for each zone in service that was
        evacuated before, the index of the log at which it was last
        restored. The index increases whenever the zone may have been
        evacuated and restored; after a snapshot, it is that of the
        snapshot. It thus differs between processes.
    """

    def __init__(self):
        self.zones: frozenset[ids.Zone] = frozenset()
        self.restored_index_by_zone: dict[ids.Zone, int] = {}

    def targets(self):
        """Return the table as a tuple of SetPrefillTargets."""
        return (
            *(evacuate(zone) for zone in sorted(self.zones)),
            *(restore(zone) for zone in sorted(self.restored_index_by_zone)),
        )

    def load(self, index, targets):
        """Replace the table by SetPrefillTargets.

        :param index: index of the snapshot that has them.
        """
        self.zones = frozenset(
            _zone_of(target) for target in targets if target.prefills
        )
        self.restored_index_by_zone = {
            _zone_of(target): index
            for target in targets
            if not target.prefills
        }

    def apply(self, index, target):
        """Apply a committed SetPrefillTarget and return its result."""
        zone = _zone_of(target)
        is_evacuated = zone in self.zones
        if bool(target.prefills) == is_evacuated:
            return results.Accepted(index, repeated=True)
        if is_evacuated:
            self.zones -= {zone}
            self.restored_index_by_zone[zone] = index
        else:
            self.zones |= {zone}
            self.restored_index_by_zone.pop(zone, None)
        return results.Accepted(index)


def _command(zone, value):
    name = ids.ModelId(RESERVED_PREFIX + zone)
    return pool_targets.SetPrefillTarget(name, value)


def _zone_of(target):
    return ids.Zone(target.model.removeprefix(RESERVED_PREFIX))
