"""Turns submissions and promotions of operators into log commands."""

from bulrushrudder.documents import differences
from bulrushrudder.documents import types
from bulrushrudder.state import documents as state_documents
from bulrushrudder.state import results

MAX_SUBMIT_ATTEMPTS = 5
NO_MAJORITY = 'no majority of control processes can be reached'


class DocumentChanges:
    """Submits and promotes documents.

    :param node: the Node of this control process.
    """

    def __init__(self, node):
        self._node = node

    async def submit(self, document, digest, operator):
        """Submit a document to trial as a difference.

        If another change is committed first, the difference is computed
        again and submitted again, up to MAX_SUBMIT_ATTEMPTS times.

        :param digest: the digest of the validated bytes.
        :returns: the Outcome.
        """
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            if await self._node.read_index() is None:
                return results.Unavailable(NO_MAJORITY)
            command = self._submit_command(document, digest, operator)
            outcome = await self._node.propose(command)
            if not isinstance(outcome, results.Outdated):
                return outcome
        return results.Unavailable(
            'another change was committed first in each of '
            f'{MAX_SUBMIT_ATTEMPTS} attempts'
        )

    async def promote(self, version, digest, operator):
        """Put a version that trial accepted in force in production.

        :returns: the Outcome.
        """
        return await self._node.propose(
            state_documents.PromoteDocument(version, digest, operator)
        )

    def _submit_command(self, document, digest, operator):
        table = self._node.state.documents
        latest = table.latest_entry(types.Environment.TRIAL)
        before = table.in_force(types.Environment.TRIAL)
        return state_documents.SubmitDocument(
            base_version=latest.version if latest else 0,
            base_digest=latest.digest if latest else '',
            difference=differences.between(before, document),
            digest=digest,
            operator=operator,
        )
