"""Discovery of members, and the founding of a new log.

Only the process at the lowest address of the settings founds a log, and
only once every other address has answered that its log is empty too and
that it accepts entries from this founder alone. A process with a wiped
disk therefore joins the existing log instead of founding another. If a
process has lost the permission to found one with its disk, it says so, and
the next address takes its place: a log that the first one may have founded
has no entry on any other disk, so nothing in it was committed.
"""

from bulrushrudder.consensus import core as core_types
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types

DISCOVERY_INTERVAL_S = 0.5
FOUNDING_TERM = 1


class Discovery:
    """Queries the control addresses while there is no leader."""

    def __init__(self):
        self._sequence = 0
        self._sequence_when_bound = 0
        self._last_request_s = None
        self._empty_ids_by_address = {}
        self._learned_addresses = set()
        self._unpermitted_addresses = set()

    def tick(self, core):
        """Query the addresses periodically while there is no leader."""
        if core.has_recent_leader():
            return
        is_due = self._last_request_s is None or (
            core.now_s - self._last_request_s >= DISCOVERY_INTERVAL_S
        )
        if not is_due:
            return
        self._last_request_s = core.now_s
        self._invalidate_requests()
        for address in self._targets(core):
            core.send(
                address,
                messages.DiscoveryRequest(
                    core.header(),
                    self._sequence,
                    core.log.is_empty,
                    core.identity.may_found,
                ),
            )
        self._found_if_all_empty(core)

    def handle_request(self, core, message):
        """Answer a process that has no leader."""
        header = message.header
        self._record_permission(message)
        if message.log_empty and header.address == self._founder(core):
            self._bind_to_founder(core, header.sender)
        response = messages.DiscoveryResponse(
            core.header(),
            message.sequence,
            core.log.is_empty,
            tuple(member.address for member in core.members),
            core.identity.may_found,
        )
        core.send(header.address, response)
        if core.role is core_types.Role.LEADER:
            known = (
                message.log_empty or header.cluster == core.hard_state.cluster
            )
            if known:
                newcomers_by_id = core.leadership.newcomers_by_id
                newcomers_by_id[header.sender] = header.address

    def handle_response(self, core, message):
        """Handle the response of another address."""
        self._learned_addresses.update(message.addresses)
        self._record_permission(message)
        if not core.log.is_empty:
            return
        header = message.header
        if not message.log_empty:
            self._follow_log(core, message)
            return
        if message.sequence == self._sequence and header.cluster == core.id:
            self._empty_ids_by_address[header.address] = header.sender
            self._found_if_all_empty(core)

    def learn_address(self, address):
        """Learn the address of a member that sent a message.

        Members go on sending to the address of a disk that is gone. The
        process that uses it now may know no other address that is in use.
        """
        self._learned_addresses.add(address)

    def _follow_log(self, core, message):
        """Accept entries of a log that exists.

        The response may answer an earlier request, as a member with a slow
        disk responds late, but none from before a founder was accepted.
        """
        if message.sequence < self._sequence_when_bound:
            return
        if core.hard_state.cluster != message.header.cluster:
            core.save(cluster=message.header.cluster)

    def _bind_to_founder(self, core, founder):
        """Accept entries from this founder alone while the log is empty."""
        if not core.log.is_empty or core.hard_state.cluster == founder:
            return
        core.save(cluster=founder)
        self._invalidate_requests()
        self._sequence_when_bound = self._sequence

    def _targets(self, core):
        """Return the other addresses to query.

        With seeds these include all addresses learned from responses, so
        that a new process finds a leader that is not a seed.
        """
        if not core.identity.seeded:
            return _other_addresses(core)
        known = {member.address for member in core.members}
        known.update(core.identity.addresses, self._learned_addresses)
        known.discard(core.identity.address)
        return sorted(known)

    def _invalidate_requests(self):
        """Ignore responses to earlier requests from now on."""
        self._sequence += 1
        self._empty_ids_by_address = {}

    def _record_permission(self, message):
        """Record whether the sender of a message may found a log."""
        address = message.header.address
        if message.may_found:
            self._unpermitted_addresses.discard(address)
        else:
            self._unpermitted_addresses.add(address)

    def _founder(self, core):
        """Return the address of the process that founds the log, or None.

        Addresses that have not answered yet may be permitted.
        """
        candidates = set(core.identity.addresses) - self._unpermitted_addresses
        if not core.identity.may_found:
            candidates.discard(core.identity.address)
        return min(candidates, default=None)

    def _found_if_all_empty(self, core):
        if not core.identity.may_found or not core.log.is_empty:
            return
        if core.identity.address != self._founder(core):
            return
        if set(self._empty_ids_by_address) != set(_other_addresses(core)):
            return
        ids_by_address = {
            **self._empty_ids_by_address,
            core.identity.address: core.id,
        }
        members = tuple(
            types.Member(id_, address, voter=True)
            for address, id_ in sorted(ids_by_address.items())
        )
        first = types.Entry(1, FOUNDING_TERM, types.Configuration(members))
        core.save([first], cluster=core.id, term=FOUNDING_TERM, vote=core.id)
        core.deadline_s = core.now_s


def _other_addresses(core):
    own = core.identity.address
    return [a for a in core.identity.addresses if a != own]
