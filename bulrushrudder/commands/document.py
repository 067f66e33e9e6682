"""The document commands: check, submit, promote and compare documents."""

import dataclasses
import json as json_format

from returns import result

from bulrushrudder.commands import client
from bulrushrudder.commands import errors
from bulrushrudder.commands import waiting
from bulrushrudder.config import document as document_config
from bulrushrudder.config import loader
from bulrushrudder.documents import comparison
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types

ENVIRONMENTS = tuple(environment.value for environment in types.Environment)


def check(file, json=False):
    """Check a document locally, without sending it.

    :param file: the document.
    :param json: whether to print JSON.
    """
    source, document = _load(file)
    if json:
        _print_json(_identity(source, document))
        return
    print(f'{file}: version {document.version} is valid')


def submit(file, control, secret, operator='unnamed', wait=False, json=False):
    """Submit a document to the trial environment.

    Submitting the same bytes again returns the first result.

    :param file: the document.
    :param control: host:port of any control process.
    :param secret: the file with the operators secret.
    :param operator: your name, for the history.
    :param wait: whether to wait until it is in force on all live VMs.
    :param json: whether to print JSON.
    """
    source, _ = _load(file)
    api = client.Client(control, secret)
    reply = api.call(
        'POST', '/documents/trial', data=source, operator=operator
    )
    _report(api, reply, wait, json)


def promote(file, control, secret, operator='unnamed', wait=False, json=False):
    """Put a document that trial accepted in force in production.

    :param file: the document, byte for byte as trial accepted it.
    :param control: host:port of any control process.
    :param secret: the file with the operators secret.
    :param operator: your name, for the history.
    :param wait: whether to wait until it is in force on all live VMs.
    :param json: whether to print JSON.
    """
    source, document = _load(file)
    api = client.Client(control, secret)
    reply = api.call(
        'POST',
        '/documents/production',
        data=json_format.dumps(_identity(source, document)),
        operator=operator,
    )
    _report(api, reply, wait, json)


def show(environment, control, secret):
    """Print the document in force in an environment, as YAML.

    The layout and comments of the submitted file are not kept.

    :param environment: trial or production.
    :param control: host:port of any control process.
    :param secret: the file with the operators secret.
    """
    _check_environment(environment)
    api = client.Client(control, secret)
    reply = api.call('GET', f'/documents/{environment}/content')
    print(reply.body.decode(), end='')


def history(environment, control, secret, json=False):
    """Print the accepted versions of an environment, oldest first.

    :param environment: trial or production.
    :param control: host:port of any control process.
    :param secret: the file with the operators secret.
    :param json: whether to print JSON.
    """
    _check_environment(environment)
    api = client.Client(control, secret)
    versions = api.call('GET', f'/documents/{environment}').content
    if json:
        _print_json(versions)
        return
    for version in versions:
        print(
            f'{version["version"]}  {version["digest"]}  {version["operator"]}'
        )


def diff(before, after, control, secret, json=False):
    """Print the differences between two documents.

    :param before: a file, or trial or production for the document in
        force there.
    :param after: a file, or trial or production for the document in
        force there.
    :param control: host:port of any control process.
    :param secret: the file with the operators secret.
    :param json: whether to print JSON.
    """
    api = client.Client(control, secret)
    changes = comparison.compare(
        _load_named(api, before), _load_named(api, after)
    )
    if json:
        _print_json([_to_plain(change) for change in changes])
        return
    for change in changes:
        print(f'{change.kind.value} {change.part} {change.id}'.rstrip())
        for field in change.fields:
            print(f'  {field.name}: {field.before} -> {field.after}')


def _load_named(api, name):
    if name not in ENVIRONMENTS:
        _, document = _load(name)
        return document
    versions = api.call('GET', f'/documents/{name}').content
    if not versions:
        return lookups.EMPTY_DOCUMENT
    reply = api.call('GET', f'/documents/{name}/content')
    return _parse(name, reply.body)


def _load(file):
    match loader.read_bytes(file):
        case result.Success(source):
            return source, _parse(file, source)
        case result.Failure(problems):
            raise _invalid_file(problems)
    raise AssertionError(f'unreachable: {file} neither loaded nor rejected')


def _parse(file, source):
    match document_config.load(file, source):
        case result.Success(document):
            return document
        case result.Failure(problems):
            raise _invalid_file(problems)
    raise AssertionError(f'unreachable: {file} neither loaded nor rejected')


def _invalid_file(problems):
    return errors.CommandError(
        errors.ExitCode.INVALID_FILE, *map(str, problems)
    )


def _check_environment(environment):
    if environment not in ENVIRONMENTS:
        raise errors.CommandError(
            errors.ExitCode.USAGE,
            f'environment: expected trial or production, '
            f'found {environment!r}',
        )


def _identity(source, document):
    return {
        'version': document.version,
        'digest': document_config.digest(source),
    }


def _report(api, reply, wait, json):
    content = reply.content
    if json:
        _print_json(content)
    else:
        again = ' (accepted earlier)' if content['repeated'] else ''
        print(f'in the log at index {content["index"]}{again}')
    if wait:
        waiting.wait_until_in_force(api, content['index'])
        if not json:
            print('in force on all live VMs')


def _to_plain(change):
    return {
        **dataclasses.asdict(change),
        'kind': change.kind.value,
    }


def _print_json(content):
    print(json_format.dumps(content, default=str))
