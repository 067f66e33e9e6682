"""The settings of one VM: addresses, zone, data folder, secrets."""

import dataclasses
import pathlib

from bulrushrudder.core import ids
from bulrushrudder.documents import types

MS_PER_SECOND = 1000.0
# As long as a platform that names no lease may take to notice a holder.
DEFAULT_ORDER_LEASE_MS = 3000.0
# A withdrawn key stops within this time behind a partition too.
DEFAULT_STALE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self):
        """Return the usual text form."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


def parse_address(text):
    """Return the Address in its usual text form."""
    host, _, port = text.rpartition(':')
    return Address(host.strip('[]'), int(port))


@dataclasses.dataclass(frozen=True, slots=True)
class Secrets:
    """The secrets of a VM; never logged."""

    cluster: bytes = dataclasses.field(repr=False)
    operators: bytes = dataclasses.field(repr=False)
    backends: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Where the entry process listens.

    :param callers: where callers connect.
    :param backends: where backend servers announce themselves; None
        where they do so to control processes.
    :param metrics: where metrics are read.
    :param inner: where the system's other processes connect.
    :param balancer_s: seconds that the platform's balancer may take to
        see that the process is unready, before it refuses new work.
    :param hosts_roles: whether the VM takes roles for the fleet, as
        the authority of client accounts and coordinator of models.
    :param ready: where the balancer asks whether the process is ready;
        None where it asks among the callers.
    :param stale_s: seconds without a voucher for the view of the log
        after which keyed routes are refused.
    :param stop_s: seconds after which a process that was told to stop
        is ended by force; None where it is not.
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
    """What the whole fleet is held to.

    :param retry_share: attempts beyond the first, as a share of a
        service's requests.
    :param retry_extra: attempts beyond that share in a window.
    :param retry_window_s: seconds of such a window.
    :param spare_tokens: tokens that an account may get over its grant
        in a window while its authority cannot be reached.
    :param spare_window_s: seconds of such a window.
    """

    retry_share: float
    retry_extra: float
    retry_window_s: float
    spare_tokens: float
    spare_window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Where the control process listens and keeps its state.

    :param operators: where operators connect.
    :param metrics: where metrics are read.
    :param inner: where the system's other processes connect.
    :param data_folder: the folder of durable state.
    :param order_lease_s: seconds after an order in which no other
        process may give one.
    """

    operators: Address
    metrics: Address
    inner: Address
    data_folder: pathlib.Path
    order_lease_s: float = DEFAULT_ORDER_LEASE_MS / MS_PER_SECOND


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one VM.

    :param entry: None where the VM runs no entry process.
    :param control: None where the VM runs no control process.
    :param controls: inner addresses of all control processes, or of
        some where the settings hold seeds.
    :param seeded: whether the settings hold seeds.
    :param may_found: whether a control process may found the log.
    :param interface: own, or the name of another outer protocol.
    :param bounds: None where the product's own apply.
    :param file: where the settings were read from.
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
