"""The settings of one VM: addresses, zone, data folder, secrets."""

import dataclasses
import ipaddress
import pathlib
import typing

import pydantic
from returns import result

from bulrushrudder.config import errors
from bulrushrudder.config import loader
from bulrushrudder.config import models
from bulrushrudder.core import ids
from bulrushrudder.documents import types

MIN_SECRET_BYTES = 16
BALANCER_S = 5.0
NO_SECRET = b''
MS_A_SECOND = 1000.0
# As long as a platform that names no lease may take to notice a holder.
ORDER_LEASE_MS = 3000.0
MAX_BALANCER_S = 300.0
# A withdrawn key stops within this time behind a partition too.
STALE_S = 3.0
MAX_STALE_S = 3600.0


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
    stale_s: float = STALE_S
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
    order_lease_s: float = ORDER_LEASE_MS / MS_A_SECOND


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


class AddressModel(models.Model):
    """An address as it stands in YAML."""

    host: str
    port: int = pydantic.Field(ge=0, le=65535)

    @pydantic.model_validator(mode='before')
    @classmethod
    def _read_text(cls, value):
        if not isinstance(value, str):
            return value
        host, _, port = value.rpartition(':')
        if not port.isdecimal():
            raise ValueError('expected an address as HOST:PORT')
        return {'host': host.strip('[]'), 'port': int(port)}

    @pydantic.field_validator('host')
    @classmethod
    def _check_host(cls, host):
        ipaddress.ip_address(host)
        return host

    def build(self):
        """Return the data class."""
        return Address(self.host, self.port)


class SecretsModel(models.Model):
    """Files that hold the secrets."""

    cluster: str
    operators: str
    backends: str


class EntryModel(models.Model):
    """The section of the entry process."""

    callers: AddressModel
    backends: AddressModel | None = None
    ready: AddressModel | None = None
    metrics: AddressModel
    inner: AddressModel
    balancer_s: float = pydantic.Field(
        default=BALANCER_S, ge=0, le=MAX_BALANCER_S
    )
    hosts_roles: bool = True
    stale_s: float = pydantic.Field(default=STALE_S, gt=0, le=MAX_STALE_S)
    stop_s: float | None = pydantic.Field(default=None, gt=0)

    def build(self):
        """Return the data class."""
        return EntrySettings(
            callers=self.callers.build(),
            backends=self.backends.build() if self.backends else None,
            ready=self.ready.build() if self.ready else None,
            metrics=self.metrics.build(),
            inner=self.inner.build(),
            balancer_s=self.balancer_s,
            hosts_roles=self.hosts_roles,
            stale_s=self.stale_s,
            stop_s=self.stop_s,
        )


class ControlModel(models.Model):
    """The section of the control process."""

    operators: AddressModel
    metrics: AddressModel
    inner: AddressModel
    data_folder: str = pydantic.Field(min_length=1)
    order_lease_ms: float | None = pydantic.Field(default=None, ge=0)

    def build(self, folder):
        """Return the data class.

        :param folder: where relative paths count from.
        """
        return ControlSettings(
            operators=self.operators.build(),
            metrics=self.metrics.build(),
            inner=self.inner.build(),
            data_folder=folder / self.data_folder,
            order_lease_s=(self.order_lease_ms or ORDER_LEASE_MS)
            / MS_A_SECOND,
        )


class SeedsModel(models.Model):
    """Some control processes, which know the others.

    :param addresses: where they listen for operators.
    :param inner_port: where each listens for the system's processes.
    """

    addresses: list[AddressModel] = pydantic.Field(min_length=1)
    inner_port: int = pydantic.Field(ge=1, le=65535)

    def build(self):
        """Return the inner addresses."""
        return tuple(Address(a.host, self.inner_port) for a in self.addresses)


class BoundsModel(models.Model):
    """The section of what the whole fleet is held to."""

    retry_share: float = pydantic.Field(ge=0)
    retry_extra: float = pydantic.Field(ge=0)
    retry_window_s: float = pydantic.Field(gt=0)
    spare_tokens: float = pydantic.Field(ge=0)
    spare_window_s: float = pydantic.Field(gt=0)

    def build(self):
        """Return the data class."""
        return FleetBounds(**self.model_dump())


class SettingsModel(models.Model):
    """The settings file."""

    vm: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    environment: typing.Literal['trial', 'production'] = 'production'
    entry: EntryModel | None = None
    control: ControlModel | None = None
    controls: list[AddressModel] = pydantic.Field(default=[])
    seeds: SeedsModel | None = None
    may_found: bool = True
    interface: typing.Literal['own', 'platform'] = 'own'
    bounds: BoundsModel | None = None
    secrets: SecretsModel | None = None

    @pydantic.model_validator(mode='after')
    def _check_together(self):
        if bool(self.controls) == (self.seeds is not None):
            raise ValueError('expected either controls or seeds')
        if self.interface == 'own':
            self._check_own()
        return self

    def _check_own(self):
        if self.secrets is None:
            raise ValueError('secrets: required section is missing')
        if self.entry and self.entry.backends is None:
            raise ValueError('entry.backends: required field is missing')


def load(file):
    """Read and check a settings file.

    :param file: the path of the file; relative paths inside it count
        from its folder.
    :returns: the Settings, or a tuple of FileError.
    """
    source = loader.read_bytes(file)
    model = source.bind(lambda text: loader.load(file, text, SettingsModel))
    return model.bind(lambda found: _build(file, found))


def _build(file, model):
    folder = pathlib.Path(file).parent
    if model.secrets is None:
        secrets = result.Success(Secrets(NO_SECRET, NO_SECRET, NO_SECRET))
    else:
        secrets = _read_secrets(file, folder, model.secrets)
    return secrets.map(lambda found: _settings(file, model, folder, found))


def _settings(file, model, folder, secrets):
    return Settings(
        vm=ids.VmId(model.vm),
        zone=ids.Zone(model.zone),
        environment=types.Environment(model.environment),
        entry=model.entry.build() if model.entry else None,
        control=model.control.build(folder) if model.control else None,
        controls=_controls(model),
        secrets=secrets,
        seeded=model.seeds is not None,
        may_found=model.may_found,
        interface=model.interface,
        bounds=model.bounds.build() if model.bounds else None,
        file=pathlib.Path(file),
    )


def _controls(model):
    if model.seeds is not None:
        return model.seeds.build()
    return tuple(address.build() for address in model.controls)


def _read_secrets(file, folder, model):
    found = {}
    for name in ('cluster', 'operators', 'backends'):
        path = folder / getattr(model, name)
        try:
            secret = path.read_bytes().strip()
        except OSError as error:
            problem = f'{path} cannot be read: {error.strerror}'
            return _secret_failure(file, name, problem)
        if len(secret) < MIN_SECRET_BYTES:
            problem = f'{path} holds less than {MIN_SECRET_BYTES} bytes'
            return _secret_failure(file, name, problem)
        found[name] = secret
    return result.Success(Secrets(**found))


def _secret_failure(file, name, problem):
    error = errors.FileError(str(file), 0, f'secrets.{name}', problem)
    return result.Failure((error,))
