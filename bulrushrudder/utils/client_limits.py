"""What untrusted clients of a listener may hold.

The limits follow from the memory and descriptors of the VM, so that
connections times bound and the rest of the process fit into it.
"""

import dataclasses
import resource

KIB = 1024
MIB = 1024 * KIB
# A process at rest with its state (docs/CAPACITY.md).
REST_MB = 64
# Of the remainder; connections that wait to be accepted, copies that are
# made while bytes are passed on, and memory that the allocator does not
# return, take the rest.
HELD_SHARE = 0.5
# A few calls at a time, on a VM that has hardly more than a process at rest
# needs. The oldest upload is read whatever the limit.
MIN_HELD_BYTES = MIB
DEFAULT_MEMORY_MB = 192
# As long as an answer that is streamed waits for its client.
UNREAD_S = 20.0
# Of the descriptors; kept for servers, peers, control, files.
RESERVED_FDS_SHARE = 0.25
MIN_RESERVED_FDS = 64
# Each running call takes a descriptor of the reserve for its server; the
# others are for peers, control, files and connections that are closing.
CALL_FDS_SHARE = 0.75
# What the kernel receives for a connection at most: twice the size that is
# set for its buffer.
RECEIVED_BYTES = 32 * KIB
# Connections that wait to be accepted fill their buffers, too. A burst of
# new connections needs some room in the backlog.
MAX_BACKLOG = 128
MIN_BACKLOG = 8
BACKLOG_SHARE = 1 / 8
# Shares of the listeners and other parts of a process. They add up to 1, and
# each is kept for its listener: a crowd of callers does not shut out the
# load balancer's probes.
CALLERS_SHARE = 12 / 16
BACKENDS_SHARE = 1 / 16
INNER_SHARE = 1 / 16
# Answers of servers that are not held for a client.
REPLIES_SHARE = 1 / 16
PROBES_SHARE = 1 / 32
METRICS_SHARE = 1 / 32


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the clients of one listener.

    :param held_bytes: bytes that may be held for all of them, beyond which
        calls are refused and connections closed.
    :param connections: connections beyond which none is accepted.
    :param calls: calls in progress beyond which calls are refused.
    :param ahead_bytes: bytes sent ahead of an answer, beyond which a
        connection is not read; they stay in the kernel.
    :param unsent_bytes: bytes of an answer in the write buffer, beyond
        which writing waits.
    :param receive_buffer_bytes: size of the kernel's receive buffer of a
        connection, before the kernel doubles it.
    :param backlog: connections that may wait to be accepted.
    :param send_buffer_bytes: the same of its send buffer; small, so that a
        client that reads nothing is noticed after few answers.
    :param unread_s: seconds in which a client takes nothing of its answer,
        after which its connection is closed.
    """

    held_bytes: int
    connections: int
    calls: int
    ahead_bytes: int = 16 * KIB
    unsent_bytes: int = 16 * KIB
    receive_buffer_bytes: int = RECEIVED_BYTES // 2
    backlog: int = MAX_BACKLOG
    send_buffer_bytes: int = 16 * KIB
    unread_s: float = UNREAD_S


def derive(
    memory_mb=None, max_fds=None, unread_s=None, share=CALLERS_SHARE, roles=1
):
    """Return the ClientLimits of a listener.

    :param memory_mb: memory of its VM in MB; None if unknown.
    :param max_fds: descriptors that its process may open; None for the
        limit of the operating system.
    :param unread_s: as for ClientLimits; None for the default.
    :param share: share of the listener in what its process may hold.
    :param roles: as for VmLimits.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    fds = min(max_fds or soft, soft) if soft > 0 else max_fds or 1024
    fds //= roles
    reserved = max(MIN_RESERVED_FDS, int(fds * RESERVED_FDS_SHARE))
    spare_mb = ((memory_mb or DEFAULT_MEMORY_MB) - REST_MB) / roles
    held_bytes = max(MIN_HELD_BYTES, int(spare_mb * MIB * HELD_SHARE))
    backlog = int(held_bytes * share * BACKLOG_SHARE / RECEIVED_BYTES)
    return ClientLimits(
        held_bytes=int(held_bytes * share),
        backlog=min(MAX_BACKLOG, max(MIN_BACKLOG, backlog)),
        connections=max(1, int((fds - reserved) * share)),
        calls=max(1, int(reserved * CALL_FDS_SHARE)),
        unread_s=unread_s or UNREAD_S,
    )


def of_vm(vm, share=CALLERS_SHARE):
    """Return the ClientLimits of a listener.

    :param vm: the VmLimits of the settings.
    :param share: as for derive().
    """
    return derive(vm.memory_mb, vm.max_fds, vm.unread_s, share, vm.roles)


def replies_bytes(vm):
    """Return the limit on answers that are not held for a client.

    :param vm: the VmLimits of the settings.
    """
    return of_vm(vm, REPLIES_SHARE).held_bytes
