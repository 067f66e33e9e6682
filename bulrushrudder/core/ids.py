"""Identifiers that are shared by all packages."""

import dataclasses
import typing

AccountId = typing.NewType('AccountId', str)
ModelId = typing.NewType('ModelId', str)
RequestId = typing.NewType('RequestId', str)
RouteId = typing.NewType('RouteId', str)
ServerId = typing.NewType('ServerId', str)
ServiceId = typing.NewType('ServiceId', str)
VmId = typing.NewType('VmId', str)
Zone = typing.NewType('Zone', str)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Owner:
    """One run of the process on a VM.

    :param vm: the VM that runs the process.
    :param incarnation: increases with every start of the process.
    """

    vm: VmId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """One attempt of a request on a backend server.

    :param request: the request that is attempted.
    :param owner: the process that started the attempt.
    :param number: number of the attempt, from 1.
    """

    request: RequestId
    owner: Owner
    number: int

    def __str__(self):
        """Return the form that is sent to backend servers."""
        owner = self.owner
        return f'{owner.vm}.{owner.incarnation}.{self.request}.{self.number}'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TokenRequestId:
    """Identifies a token request to the authority of an account.

    :param owner: the process that sends the request.
    :param number: number of the token request within the process.
    """

    owner: Owner
    number: int
