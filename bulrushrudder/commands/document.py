"""Checks, submits and promotes documents."""

import json as json_format

from returns import result

from bulrushrudder.commands import client
from bulrushrudder.commands import errors
from bulrushrudder.config import document as document_config
from bulrushrudder.config import loader
from bulrushrudder.control import operators


class Document:
    """Check, submit and promote environment documents."""

    def check(self, file):
        """Check a document without sending it anywhere.

        :param file: the document.
        """
        found = self._load(file)
        print(f'{file}: version {found.version} is valid')

    def submit(self, file, control, secret, operator='unnamed', json=False):
        """Submit a document to the trial environment.

        :param file: the document.
        :param control: host:port of any control process.
        :param secret: the file that holds the operators secret.
        :param operator: your name, for the history.
        :param json: whether to print JSON.
        """
        self._load(file)
        source = loader.read_bytes(file).unwrap()
        reply = client.call(
            'POST',
            control,
            secret,
            '/documents/trial',
            data=source,
            headers={'X-Operator': str(operator)},
        )
        self._report(reply, json)

    def promote(self, file, control, secret, operator='unnamed', json=False):
        """Put the bytes that trial accepted in force in production.

        :param file: the document that trial accepted.
        :param control: host:port of any control process.
        :param secret: the file that holds the operators secret.
        :param operator: your name, for the history.
        :param json: whether to print JSON.
        """
        found = self._load(file)
        source = loader.read_bytes(file).unwrap()
        content = {
            'version': found.version,
            'digest': operators.digest(source),
        }
        reply = client.call(
            'POST',
            control,
            secret,
            '/documents/production',
            data=json_format.dumps(content),
            headers={'X-Operator': str(operator)},
        )
        self._report(reply, json)

    def history(self, environment, control, secret, json=False):
        """Print the accepted versions of an environment.

        :param environment: trial or production.
        :param control: host:port of any control process.
        :param secret: the file that holds the operators secret.
        :param json: whether to print JSON.
        """
        path = f'/documents/{environment}'
        reply = client.call('GET', control, secret, path)
        if json:
            print(json_format.dumps(reply.content))
            return
        for version in reply.content:
            print(
                f'{version["version"]}  {version["digest"]}'
                f'  {version["operator"]}'
            )

    def _load(self, file):
        source = loader.read_bytes(str(file))
        match source.bind(lambda text: document_config.load(file, text)):
            case result.Success(found):
                return found
            case result.Failure(problems):
                raise errors.CommandError(
                    errors.ExitCode.INVALID_FILE, *map(str, problems)
                )

    def _report(self, reply, json):
        if json:
            print(json_format.dumps(reply.content))
        if reply.status != 200:
            problem = reply.content.get('problem') or reply.content
            raise errors.CommandError(errors.ExitCode.REFUSED, problem)
        if not json:
            print(f'in the log at index {reply.content["index"]}')
