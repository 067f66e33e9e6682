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
MAX_BALANCER_S = 300.0


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
    :param backends: where backend servers announce themselves.
    :param metrics: where metrics are read.
    :param inner: where the system's other processes connect.
    :param balancer_s: seconds that the platform's balancer may take to
        see that the process is unready, before it refuses new work.
    :param hosts_roles: whether the VM takes roles for the fleet, as
        the authority of client accounts and coordinator of models.
    """

    callers: Address
    backends: Address
    metrics: Address
    inner: Address
    balancer_s: float = 0.0
    hosts_roles: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Where the control process listens and keeps its state.

    :param operators: where operators connect.
    :param metrics: where metrics are read.
    :param inner: where the system's other processes connect.
    :param data_folder: the folder of durable state.
    """

    operators: Address
    metrics: Address
    inner: Address
    data_folder: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one VM.

    :param entry: None where the VM runs no entry process.
    :param control: None where the VM runs no control process.
    :param controls: inner addresses of all control processes.
    """

    vm: ids.VmId
    zone: ids.Zone
    environment: types.Environment
    entry: EntrySettings | None
    control: ControlSettings | None
    controls: tuple[Address, ...]
    secrets: Secrets


class AddressModel(models.Model):
    """An address as it stands in YAML."""

    host: str
    port: int = pydantic.Field(ge=0, le=65535)

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
    backends: AddressModel
    metrics: AddressModel
    inner: AddressModel
    balancer_s: float = pydantic.Field(
        default=BALANCER_S, ge=0, le=MAX_BALANCER_S
    )
    hosts_roles: bool = True

    def build(self):
        """Return the data class."""
        return EntrySettings(
            callers=self.callers.build(),
            backends=self.backends.build(),
            metrics=self.metrics.build(),
            inner=self.inner.build(),
            balancer_s=self.balancer_s,
            hosts_roles=self.hosts_roles,
        )


class ControlModel(models.Model):
    """The section of the control process."""

    operators: AddressModel
    metrics: AddressModel
    inner: AddressModel
    data_folder: str = pydantic.Field(min_length=1)

    def build(self, folder):
        """Return the data class.

        :param folder: where relative paths count from.
        """
        return ControlSettings(
            operators=self.operators.build(),
            metrics=self.metrics.build(),
            inner=self.inner.build(),
            data_folder=folder / self.data_folder,
        )


class SettingsModel(models.Model):
    """The settings file."""

    vm: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    environment: typing.Literal['trial', 'production'] = 'production'
    entry: EntryModel | None = None
    control: ControlModel | None = None
    controls: list[AddressModel] = pydantic.Field(min_length=1)
    secrets: SecretsModel


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
    secrets = _read_secrets(file, folder, model.secrets)
    return secrets.map(lambda found: _settings(model, folder, found))


def _settings(model, folder, secrets):
    return Settings(
        vm=ids.VmId(model.vm),
        zone=ids.Zone(model.zone),
        environment=types.Environment(model.environment),
        entry=model.entry.build() if model.entry else None,
        control=model.control.build(folder) if model.control else None,
        controls=tuple(address.build() for address in model.controls),
        secrets=secrets,
    )


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
