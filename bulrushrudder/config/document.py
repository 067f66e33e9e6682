"""The models of the environment document, and reading it from YAML."""

import typing

import pydantic
from returns import result

from bulrushrudder.config import errors
from bulrushrudder.config import loader
from bulrushrudder.config import models
from bulrushrudder.core import digests
from bulrushrudder.core import ids
from bulrushrudder.documents import types

Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')
]
KeyDigest = typing.Annotated[
    str, pydantic.Field(pattern=r'^sha256:[0-9a-f]{64}$')
]
MODEL_FIELDS = frozenset({'first_token_s', 'between_tokens_s'})
SERVICE_FIELDS = frozenset({'timeout_s', 'call_tokens'})
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86400 * 366)]


class AccountModel(models.Model):
    """A client account in the document."""

    id: Name
    rate: float = pydantic.Field(gt=0, le=1e9)
    burst: int = pydantic.Field(gt=0, le=10**12)
    weight: float = pydantic.Field(default=1.0, gt=0, le=1000)
    keys: list[KeyDigest] = []

    def build(self):
        """Convert to the data class."""
        return types.ClientAccount(
            id=ids.AccountId(self.id),
            rate=self.rate,
            burst=self.burst,
            weight=self.weight,
            key_digests=tuple(self.keys),
        )


# Converted as soon as it is validated, so that a large document is not in
# memory both as models and as data classes.
BuiltAccount = typing.Annotated[
    AccountModel, pydantic.AfterValidator(AccountModel.build)
]


class ModelModel(models.Model):
    """A model in the document."""

    id: Name
    max_output_tokens: int = pydantic.Field(gt=0, le=10**6)

    def build(self):
        """Convert to the data class."""
        return types.Model(ids.ModelId(self.id), self.max_output_tokens)


class RouteModel(models.Model):
    """A route in the document; its target is a model or a service."""

    id: Name
    path: str = pydantic.Field(pattern=r'^/[^?#\s]*$')
    method: typing.Literal['GET', 'POST', 'PUT', 'PATCH', 'DELETE'] = 'POST'
    model: Name | None = None
    service: Name | None = None
    urgency: typing.Literal['interactive', 'deferred'] = 'interactive'
    accounts: list[Name] = []
    open: bool = False
    repeatable: bool = True
    patience_s: float = pydantic.Field(default=10.0, ge=0, le=3600)
    first_token_s: Seconds = 2.0
    between_tokens_s: Seconds = 0.1
    timeout_s: Seconds = 30.0
    call_tokens: int = pydantic.Field(default=1, ge=0, le=10**9)

    @pydantic.model_validator(mode='after')
    def _check_target(self):
        if (self.model is None) == (self.service is None):
            raise ValueError('expected exactly one of model and service')
        if self.model and not self.repeatable:
            raise ValueError('a route to a model must be repeatable')
        other_kind = SERVICE_FIELDS if self.model else MODEL_FIELDS
        for name in sorted(other_kind & self.model_fields_set):
            kind = 'service' if self.model else 'model'
            raise ValueError(f'{name} applies only to a route to a {kind}')
        return self

    def build(self):
        """Convert to the data class."""
        return types.Route(
            id=ids.RouteId(self.id),
            method=self.method,
            path=self.path,
            target=self._target(),
            urgency=types.Urgency(self.urgency),
            accounts=tuple(map(ids.AccountId, self.accounts)),
            open=self.open,
            repeatable=self.repeatable,
            patience_s=self.patience_s,
        )

    def _target(self):
        if self.model:
            return types.ModelTarget(
                ids.ModelId(self.model),
                self.first_token_s,
                self.between_tokens_s,
            )
        return types.ServiceTarget(
            ids.ServiceId(self.service), self.timeout_s, self.call_tokens
        )


class RegisterModel(models.Model):
    """Limits of the register of at-most-once calls."""

    retention_s: Seconds = 86400.0
    max_answer_bytes: int = pydantic.Field(default=65536, ge=0, le=10**6)
    max_entries: int = pydantic.Field(default=10000, ge=1, le=10**6)

    def build(self):
        """Convert to the data class."""
        return types.RegisterLimits(
            self.retention_s, self.max_answer_bytes, self.max_entries
        )


class DocumentModel(models.Model):
    """The whole document."""

    version: int = pydantic.Field(ge=1)
    accounts: list[BuiltAccount]
    models: list[ModelModel] = []
    routes: list[RouteModel]
    at_most_once: RegisterModel = RegisterModel()
    on_withdrawal: typing.Literal['finish', 'cut'] = 'finish'

    def build(self):
        """Convert to the data class."""
        return types.Document(
            version=self.version,
            accounts=tuple(self.accounts),
            models=tuple(model.build() for model in self.models),
            routes=tuple(route.build() for route in self.routes),
            register=self.at_most_once.build(),
            cut_on_withdrawal=self.on_withdrawal == 'cut',
        )


def digest(source):
    """Return the digest of a document's bytes."""
    return digests.of(source)


def load(file, source):
    """Validate a document and convert it to data classes.

    :param file: the file name to report in errors.
    :param source: the bytes of the document.
    :returns: a Result with the Document or with a tuple of FileError.
    """
    model = loader.load(file, source, DocumentModel)
    return model.bind(lambda checked: _cross_check(file, checked.build()))


async def load_async(file, source):
    """Validate a document as load does, yielding to the event loop."""
    model = await loader.load_async(file, source, DocumentModel)
    return model.bind(lambda checked: _cross_check(file, checked.build()))


def _cross_check(file, document):
    problems = (
        *_find_duplicates(document),
        *_find_unknown_names(document),
    )
    if problems:
        return result.Failure(
            tuple(
                errors.FileError(str(file), 0, field, problem)
                for field, problem in problems
            )
        )
    return result.Success(document)


def _find_duplicates(document):
    yield from _repeated_names('accounts', [a.id for a in document.accounts])
    yield from _repeated_names('models', [m.id for m in document.models])
    yield from _repeated_names('routes', [r.id for r in document.routes])
    paths = [f'{r.method} {r.path}' for r in document.routes]
    yield from _repeated_names('routes', paths)
    key_digests = [k for a in document.accounts for k in a.key_digests]
    yield from _repeated_names('accounts keys', key_digests)


def _repeated_names(field, names):
    seen = set()
    for name in names:
        if name in seen:
            yield field, f'{name} occurs more than once'
        seen.add(name)


def _find_unknown_names(document):
    accounts = {account.id for account in document.accounts}
    model_ids = {model.id for model in document.models}
    for number, route in enumerate(document.routes):
        for account in route.accounts:
            if account not in accounts:
                field = f'routes[{number}].accounts'
                yield field, f'client account {account} is not defined'
        match route.target:
            case types.ModelTarget(model=model) if model not in model_ids:
                yield (
                    f'routes[{number}].model',
                    f'model {model} is not defined',
                )
