"""The models of the settings file, and reading it."""

import dataclasses
import ipaddress
import os
import pathlib
import typing

import pydantic
from returns import result

from bulrushrudder.config import errors
from bulrushrudder.config import loader
from bulrushrudder.config import models
from bulrushrudder.config import settings
from bulrushrudder.core import ids
from bulrushrudder.core import units
from bulrushrudder.documents import types

MIN_SECRET_BYTES = 16
NO_SECRET = b''
DEFAULT_BALANCER_S = 5.0
MAX_BALANCER_S = 300.0
MAX_STALE_S = 3600.0


class AddressModel(models.Model):
    """An address, as host and port or as HOST:PORT."""

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
        """Convert to the data class."""
        return settings.Address(self.host, self.port)


class SecretsModel(models.Model):
    """The paths of the files with the secrets."""

    cluster: str
    operators: str
    backends: str


class EntryModel(models.Model):
    """The settings of the entry process."""

    callers: AddressModel
    backends: AddressModel | None = None
    ready: AddressModel | None = None
    metrics: AddressModel
    inner: AddressModel
    balancer_s: float = pydantic.Field(
        default=DEFAULT_BALANCER_S, ge=0, le=MAX_BALANCER_S
    )
    hosts_roles: bool = True
    stale_s: float = pydantic.Field(
        default=settings.DEFAULT_STALE_S, gt=0, le=MAX_STALE_S
    )
    stop_s: float | None = pydantic.Field(default=None, gt=0)

    def build(self):
        """Convert to the data class."""
        return settings.EntrySettings(
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
    """The settings of the control process."""

    operators: AddressModel
    metrics: AddressModel
    inner: AddressModel
    data_folder: str = pydantic.Field(min_length=1)
    order_lease_ms: float = pydantic.Field(
        default=settings.DEFAULT_ORDER_LEASE_MS, ge=0
    )
    cold_overrun: float | None = pydantic.Field(default=None, ge=0)

    def build(self, folder):
        """Convert to the data class.

        :param folder: the base of relative paths.
        """
        return settings.ControlSettings(
            operators=self.operators.build(),
            metrics=self.metrics.build(),
            inner=self.inner.build(),
            data_folder=folder / self.data_folder,
            order_lease_s=self.order_lease_ms / units.MS_PER_SECOND,
            knows_cold=bool(self.cold_overrun),
        )


class SeedsModel(models.Model):
    """Control processes from which the others are discovered.

    :param addresses: where they listen for operators.
    :param inner_port: the port on which each of them listens for the
        system's processes.
    """

    addresses: list[AddressModel] = pydantic.Field(min_length=1)
    inner_port: int = pydantic.Field(ge=1, le=65535)

    def build(self):
        """Return their inner addresses."""
        return tuple(
            settings.Address(a.host, self.inner_port) for a in self.addresses
        )


class BoundsModel(models.Model):
    """The limits that apply to the fleet as a whole."""

    retry_share: float = pydantic.Field(ge=0)
    retry_extra: float = pydantic.Field(ge=0)
    retry_window_s: float = pydantic.Field(gt=0)
    spare_tokens: float = pydantic.Field(ge=0)
    spare_window_s: float = pydantic.Field(gt=0)
    cross_zone_byte_cost: float | None = pydantic.Field(default=None, ge=0)
    cross_region_byte_cost: float | None = pydantic.Field(default=None, ge=0)
    caller_second_value: float | None = pydantic.Field(default=None, gt=0)
    cache_bytes_per_token: float = pydantic.Field(default=0.0, ge=0)
    region_by_zone: dict[str, str] = pydantic.Field(default={})
    cold_overrun: float | None = pydantic.Field(default=None, ge=0)
    cold_tolerance: float | None = pydantic.Field(default=None, ge=0)

    @pydantic.model_validator(mode='after')
    def _check_prices(self):
        priced = self.cross_zone_byte_cost is not None
        if priced and self.caller_second_value is None:
            raise ValueError(
                'cross_zone_byte_cost: caller_second_value is missing'
            )
        if not priced and self.cross_region_byte_cost is not None:
            raise ValueError(
                'cross_region_byte_cost: cross_zone_byte_cost is missing'
            )
        return self

    def build(self):
        """Convert to the data class."""
        fields = self.model_dump()
        fields['caller_second_value'] = self.caller_second_value or 0.0
        fields['region_by_zone'] = tuple(sorted(self.region_by_zone.items()))
        fields['cold_overrun'] = self.cold_overrun or 0.0
        fields['cold_tolerance'] = self.cold_tolerance or 0.0
        return settings.FleetBounds(**fields)


class PlatformBoundsModel(models.Model):
    """All bounds that the platform states, as it hands them out.

    Which ones it states differs between deployments, so that a settings
    template cannot name each. Those that the product does not know are
    ignored.
    """

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    cold_overrun: float | None = pydantic.Field(default=None, ge=0)
    cold_tolerance: float | None = pydantic.Field(default=None, ge=0)


# Environment variables that state what the VM has where the settings do not.
LIMIT_VARIABLES = {
    'memory_mb': 'BULRUSHRUDDER_MEMORY_MB',
    'max_fds': 'BULRUSHRUDDER_MAX_FDS',
}


class LimitsModel(models.Model):
    """What the VM has; a platform that does not know leaves it empty."""

    memory_mb: float | None = pydantic.Field(default=None, gt=0)
    max_fds: int | None = pydantic.Field(default=None, gt=0)
    unread_s: float | None = pydantic.Field(default=None, gt=0)

    def build(self):
        """Convert to the data class."""
        return settings.VmLimits(**self.model_dump())


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
    platform_bounds: PlatformBoundsModel | None = None
    limits: LimitsModel = LimitsModel()
    secrets: SecretsModel | None = None

    @pydantic.model_validator(mode='after')
    def _check_combination(self):
        if bool(self.controls) == (self.seeds is not None):
            raise ValueError('expected exactly one of controls and seeds')
        if self.interface == 'own':
            self._check_own()
        return self

    def _check_own(self):
        if self.secrets is None:
            raise ValueError('secrets: required section is missing')
        if self.entry and self.entry.backends is None:
            raise ValueError('entry.backends: required field is missing')


def load(file):
    """Read and validate a settings file.

    :param file: the path of the file; relative paths in it are resolved
        from its folder.
    :returns: a Result with the Settings or with a tuple of FileError.
    """
    source = loader.read_bytes(file)
    model = source.bind(lambda text: loader.load(file, text, SettingsModel))
    return model.bind(lambda checked: _build(file, checked))


def _build(file, model):
    folder = pathlib.Path(file).parent
    if model.secrets is None:
        secrets = result.Success(
            settings.Secrets(NO_SECRET, NO_SECRET, NO_SECRET)
        )
    else:
        secrets = _read_secrets(file, folder, model.secrets)
    return secrets.map(lambda read: _settings(file, model, folder, read))


def _settings(file, model, folder, secrets):
    return settings.Settings(
        vm=ids.VmId(model.vm),
        zone=ids.Zone(model.zone),
        environment=types.Environment(model.environment),
        entry=model.entry.build() if model.entry else None,
        control=_control(model, folder),
        controls=_controls(model),
        secrets=secrets,
        seeded=model.seeds is not None,
        may_found=model.may_found,
        interface=model.interface,
        bounds=_bounds(model),
        file=pathlib.Path(file),
        limits=_limits(model.limits),
    )


def _limits(model):
    """Return the VmLimits of the file, else those of the environment.

    Settings of a template may name only fields that every platform fills
    in; a variable that was left empty or unfilled counts as absent.
    """
    limits = model.build()
    stated = {
        name: int(os.environ[variable])
        for name, variable in LIMIT_VARIABLES.items()
        if getattr(limits, name) is None
        and os.environ.get(variable, '').isdecimal()
    }
    return dataclasses.replace(limits, **stated)


def _control(model, folder):
    if model.control is None:
        return None
    control = model.control.build(folder)
    if model.platform_bounds and model.platform_bounds.cold_overrun:
        return dataclasses.replace(control, knows_cold=True)
    return control


def _bounds(model):
    if model.bounds is None:
        return None
    bounds = model.bounds.build()
    stated = model.platform_bounds or PlatformBoundsModel()
    return dataclasses.replace(
        bounds,
        cold_overrun=bounds.cold_overrun or stated.cold_overrun or 0.0,
        cold_tolerance=bounds.cold_tolerance or stated.cold_tolerance or 0.0,
    )


def _controls(model):
    if model.seeds is not None:
        return model.seeds.build()
    return tuple(address.build() for address in model.controls)


def _read_secrets(file, folder, model):
    secret_by_name = {}
    for name in ('cluster', 'operators', 'backends'):
        path = folder / getattr(model, name)
        try:
            secret = path.read_bytes().strip()
        except OSError as error:
            problem = f'{path} cannot be read: {error.strerror}'
            return _secret_failure(file, name, problem)
        if len(secret) < MIN_SECRET_BYTES:
            problem = f'{path} has less than {MIN_SECRET_BYTES} bytes'
            return _secret_failure(file, name, problem)
        secret_by_name[name] = secret
    return result.Success(settings.Secrets(**secret_by_name))


def _secret_failure(file, name, problem):
    error = errors.FileError(str(file), 0, f'secrets.{name}', problem)
    return result.Failure((error,))
