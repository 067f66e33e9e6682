"""Founding a log, and finding the one that is there.

A process whose log is empty never founds one on its own account. The
process at the first address of the settings founds it once every other
address has answered that its log is empty too, and has bound itself to
this founder. So a wiped disk finds the log of the others instead.
"""

from bulrushrudder.consensus import core as core_types
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types

DISCOVER_S = 0.5
FOUNDING_TERM = 1


class Discovery:
    """Asks all control addresses while no leader is heard of."""

    def __init__(self):
        self._asked = 0
        self._asked_s = None
        self._blank_ids_by_address = {}
        self._told = set()

    def tick(self, core):
        """Ask all addresses, from time to time."""
        if core.hears_leader():
            return
        due = self._asked_s is None or (
            core.now_s - self._asked_s >= DISCOVER_S
        )
        if not due:
            return
        self._asked_s = core.now_s
        self._renew()
        for address in self._reachable(core):
            core.send(
                address,
                messages.Discover(core.head(), self._asked, core.log.blank),
            )
        self._found_if_all_blank(core)

    def asked(self, core, message):
        """Answer a process that hears no leader."""
        head = message.head
        if message.blank and head.address == _founder(core):
            self._bind(core, head.sender)
        answer = messages.Discovered(
            core.head(),
            message.asked,
            core.log.blank,
            tuple(member.address for member in core.members),
        )
        core.send(head.address, answer)
        if core.role is core_types.Role.LEADER:
            known = message.blank or head.cluster == core.ballot.cluster
            if known:
                newcomers_by_id = core.leadership.newcomers_by_id
                newcomers_by_id[head.sender] = head.address

    def answered(self, core, message):
        """Take the answer of another address."""
        self._told.update(message.addresses)
        if message.asked != self._asked or not core.log.blank:
            return
        head = message.head
        if not message.blank:
            if core.ballot.cluster != head.cluster:
                core.save(cluster=head.cluster)
            return
        if head.cluster == core.id:
            self._blank_ids_by_address[head.address] = head.sender
            self._found_if_all_blank(core)

    def _bind(self, core, founder):
        """Take entries of this founder alone, while the log is empty."""
        if not core.log.blank or core.ballot.cluster == founder:
            return
        core.save(cluster=founder)
        self._renew()

    def _reachable(self, core):
        """Return the other addresses that may know the log.

        Seeds name the members, so that a newcomer finds a leader that
        is none of them.
        """
        if not core.identity.seeded:
            return _others(core)
        known = {member.address for member in core.members}
        known.update(core.identity.addresses, self._told)
        known.discard(core.identity.address)
        return sorted(known)

    def _renew(self):
        """Make answers to earlier questions void."""
        self._asked += 1
        self._blank_ids_by_address = {}

    def _found_if_all_blank(self, core):
        if not core.identity.may_found:
            return
        if not core.log.blank or core.identity.address != _founder(core):
            return
        if set(self._blank_ids_by_address) != set(_others(core)):
            return
        ids_by_address = {
            **self._blank_ids_by_address,
            core.identity.address: core.id,
        }
        members = tuple(
            types.Member(id_, address, voter=True)
            for address, id_ in sorted(ids_by_address.items())
        )
        first = types.Entry(1, FOUNDING_TERM, types.Configuration(members))
        core.save([first], cluster=core.id, term=FOUNDING_TERM, vote=core.id)
        core.deadline_s = core.now_s


def _founder(core):
    return min(core.identity.addresses)


def _others(core):
    own = core.identity.address
    return [a for a in core.identity.addresses if a != own]
