"""The settings of one VM: addresses, zone, data folder and secrets."""

import dataclasses
import pathlib

from bulrushrudder.core import ids
from bulrushrudder.core import units
from bulrushrudder.documents import types

# Used if the platform states no lease: the time it may take to notice a
# change of the process that sends orders.
DEFAULT_ORDER_LEASE_MS = 3000.0
# Bounds how long a withdrawn key still works behind a network partition.
DEFAULT_STALE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self):
        """Return HOST:PORT, with an IPv6 host in brackets."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


def parse_address(text):
    """Return the Address written as HOST:PORT."""
    host, _, port = text.rpartition(':')
    return Address(host.strip('[]'), int(port))


@dataclasses.dataclass(frozen=True, slots=True)
class Secrets:
    """The secrets of a VM; left out of repr, so that no log has them."""

    cluster: bytes = dataclasses.field(repr=False)
    operators: bytes = dataclasses.field(repr=False)
    backends: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """The settings of the entry process.

    :param callers: address for callers.
    :param backends: address for announcements of backend servers; None
        if they announce themselves to control processes.
    :param metrics: address that serves metrics.
    :param inner: address for the system's other processes.
    :param balancer_s: seconds that the platform's load balancer may
        take to notice that the process is not ready; new requests are
        still accepted in that time.
    :param hosts_roles: whether the VM may be the authority of client
        accounts and the coordinator of models.
    :param ready: address that answers the load balancer's readiness
        probe; None if the address for callers does.
    :param stale_s: seconds without a confirmation that the view of the
        log is current, after which keyed routes are refused.
    :param stop_s: seconds from a request to stop until the process is
        killed; None if it is never killed.
    """

    callers: Address
    backends: Address | None
    metrics: Address
    inner: Address
    balancer_s: float = 0.0
    hosts_roles: bool = True
    ready: Address | None = None
    stale_s: float = DEFAULT_STALE_S
    stop_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FleetBounds:
    """Limits that apply to the fleet as a whole.

    :param retry_share: retries allowed, as a share of a service's
        requests.
    :param retry_extra: retries allowed beyond that share, per window.
    :param retry_window_s: length of that window in seconds.
    :param spare_tokens: tokens that an account may use beyond its
        grants, per window, while its authority is unreachable.
    :param spare_window_s: length of that window in seconds.
    :param cross_zone_byte_cost: price of a byte between availability zones;
        None if the bytes between zones have no price.
    :param cross_region_byte_cost: price of a byte between regions; None if
        it is the same as between zones.
    :param caller_second_value: what a second of waiting is worth to a
        caller, in the same currency.
    :param cache_bytes_per_token: bytes of KV cache per prompt token; 0 if
        unknown.
    :param region_by_zone: pairs of zone and region; zones that are not
        listed are in one region.
    :param cold_overrun: multiple of the rate that a cold server sustains,
        which it may get in a second, apart from the tolerance; 0 if
        nothing is known of cold servers.
    :param cold_tolerance: requests that a cold server may get in a second
        beyond that.
    """

    retry_share: float
    retry_extra: float
    retry_window_s: float
    spare_tokens: float
    spare_window_s: float
    cross_zone_byte_cost: float | None = None
    cross_region_byte_cost: float | None = None
    caller_second_value: float = 0.0
    cache_bytes_per_token: float = 0.0
    region_by_zone: tuple[tuple[str, str], ...] = ()
    cold_overrun: float = 0.0
    cold_tolerance: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """The settings of the control process.

    :param operators: address for operators.
    :param metrics: address that serves metrics.
    :param inner: address for the system's other processes.
    :param data_folder: the folder of durable state.
    :param order_lease_s: seconds after an order in which no other
        process may send one.
    :param knows_cold: whether announcements that servers are cold are
        recorded, because the platform bounds the requests to such servers.
    """

    operators: Address
    metrics: Address
    inner: Address
    data_folder: pathlib.Path
    order_lease_s: float = DEFAULT_ORDER_LEASE_MS / units.MS_PER_SECOND
    knows_cold: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VmLimits:
    """What the VM has for the clients of this process.

    None stands for what is unknown, and for the default.

    :param memory_mb: memory in MB.
    :param max_fds: descriptors that it may open.
    :param unread_s: seconds in which a client takes nothing of its answer,
        after which its connection is closed.
    :param roles: number of roles, entry or control, that share the process
        and so divide its memory and descriptors.
    """

    memory_mb: float | None = None
    max_fds: int | None = None
    unread_s: float | None = None
    roles: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one VM.

    :param entry: None if the VM runs no entry process.
    :param control: None if the VM runs no control process.
    :param controls: inner addresses of the control processes; of all of
        them, or only of some if they come from seeds.
    :param seeded: whether the addresses come from seeds.
    :param may_found: whether a control process may found the log.
    :param interface: the protocol towards callers, backend servers and
        operators; "own" for the router's.
    :param bounds: None for the built-in defaults.
    :param file: the file that the settings were read from.
    :param limits: the VmLimits, which bound what clients may hold.
    """

    vm: ids.VmId
    zone: ids.Zone
    environment: types.Environment
    entry: EntrySettings | None
    control: ControlSettings | None
    controls: tuple[Address, ...]
    secrets: Secrets
    seeded: bool = False
    may_found: bool = True
    interface: str = 'own'
    bounds: FleetBounds | None = None
    file: pathlib.Path | None = None
    limits: VmLimits = VmLimits()
