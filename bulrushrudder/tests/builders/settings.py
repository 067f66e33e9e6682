"""Builders of settings for processes on the loopback interface."""

from bulrushrudder.config import settings
from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.utils import ports

OPERATORS_SECRET = 'operators-secret'
BACKENDS_SECRET = 'backends-secret-'


def addresses(count):
    """Return unused addresses."""
    numbers = ports.free_ports(count)
    return [settings.Address(ports.LOOPBACK, port) for port in numbers]


def solo(folder, environment=types.Environment.PRODUCTION):
    """Return settings of one VM that runs control and entry.

    :param folder: the data folder.
    """
    callers, backends, metrics, inner, operators, control_metrics, control = (
        addresses(7)
    )
    return settings.Settings(
        vm=ids.VmId('vm1'),
        zone=ids.Zone('a'),
        environment=environment,
        entry=settings.EntrySettings(callers, backends, metrics, inner),
        control=settings.ControlSettings(
            operators, control_metrics, control, folder
        ),
        controls=(control,),
        secrets=settings.Secrets(
            cluster=b'cluster-secret-0',
            operators=OPERATORS_SECRET.encode(),
            backends=BACKENDS_SECRET.encode(),
        ),
    )
