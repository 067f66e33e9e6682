"""The status of the log, as the leader reports it to operators."""

from bulrushrudder.protocol import status_messages


def leader_status(node, leases, now_s):
    """Return the Status as seen by this process, which leads.

    :param node: the Node.
    :param leases: the Leases of observers.
    :param now_s: monotonic seconds.
    """
    replica = node.replica
    return status_messages.Status(
        leader=replica.leader.address,
        term=replica.term,
        index=replica.commit_index,
        can_lose_one=replica.tolerable_losses > 0,
        tolerable_losses=replica.tolerable_losses,
        members=tuple(_member(replica, m) for m in replica.members),
        sessions=tuple(
            _session(session, replica.commit_index, leases, now_s)
            for session in node.state.sessions.by_vm.values()
        ),
    )


def _member(replica, member):
    match_index = replica.match_index(member.id)
    return status_messages.MemberStatus(
        id=member.id,
        address=member.address,
        voter=member.voter,
        live=replica.is_responsive(member.id),
        lag=max(replica.log.last_index - match_index, 0),
    )


def _session(session, commit, leases, now_s):
    contact = leases.contacts_by_owner.get(session.owner)
    index = contact.index if contact else 0
    return status_messages.SessionStatus(
        vm=session.owner.vm,
        incarnation=session.owner.incarnation,
        index=index,
        lag=max(commit - index, 0),
        silent_s=now_s - contact.heard_s if contact else -1.0,
    )
