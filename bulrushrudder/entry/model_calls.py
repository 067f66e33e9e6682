"""Serves calls of routes whose target is a model."""

import asyncio
import random

from returns import result

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.entry import answers
from bulrushrudder.entry import completions
from bulrushrudder.entry import execution
from bulrushrudder.entry import refusals
from bulrushrudder.lifecycle import fingerprints
from bulrushrudder.lifecycle import job as jobs
from bulrushrudder.lifecycle import suspicion
from bulrushrudder.limits import costs
from bulrushrudder.placement import prefixes

# Average and maximum bytes of prompt text that one token covers.
BYTES_PER_TOKEN = 4
MAX_BYTES_PER_TOKEN = 16


class ModelCalls:
    """Serves calls to models.

    :param services: the SharedServices of this process.
    """

    def __init__(self, services):
        self._services = services

    async def serve(self, http_request, request_id, admitted, body):
        """Serve one call and return its HTTP response.

        :param http_request: the aiohttp request.
        :param request_id: id of the request in logs and answers.
        :param admitted: the AdmittedCall.
        :param body: bytes of the request body.
        """
        match completions.parse(body, admitted.route.target.model):
            case result.Failure(refusal):
                return refusals.refuse(
                    self._services,
                    refusal,
                    request_id,
                    admitted.route.id,
                )
            case result.Success(completion):
                pass
        fingerprint = fingerprints.of(
            admitted.route.target.model, completion.prompt
        )
        isolation = self.isolation(fingerprint)
        if isolation is None:
            return refusals.refuse(
                self._services,
                suspicion.QUARANTINED,
                request_id,
                admitted.route.id,
            )
        job = self._job(request_id, admitted, completion, isolation)
        if completion.stream:
            sink = answers.StreamedAnswer(http_request, request_id, job.model)
        else:
            sink = answers.BufferedAnswer(request_id, job.model)
        await self.run(job, admitted, request_id, sink)
        return sink.response

    async def run(self, job, admitted, request_id, sink):
        """Run a request until it ends or its caller disconnects.

        :param job: the lifecycle Job.
        :param admitted: the AdmittedCall.
        :param request_id: id of the request in logs.
        :param sink: turns lifecycle actions into the caller's answer.
        """
        running = execution.RequestExecution(
            job, admitted, self._services, request_id
        )
        running.sink = sink
        sink.on_caller_gone = running.caller_gone
        task = self._services.spawn(running.run())
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            # Cancellation means that the connection was lost, also when
            # the request itself closed it to signal a failure.
            running.caller_gone()
            if sink.refusal is not None:
                self._record_outcome(sink, admitted.route.id, request_id)
            raise
        self._record_outcome(sink, admitted.route.id, request_id)

    def isolation(self, fingerprint):
        """Return the Isolation in which a request must run.

        :param fingerprint: fingerprint of the request.
        :returns: None if the request is quarantined.
        """
        table = self._services.view.state.quarantine
        return suspicion.isolation_of(table.by_fingerprint.get(fingerprint))

    def _job(self, request_id, admitted, completion, isolation):
        target = admitted.route.target
        model = self._services.view.lookups.models_by_id[target.model]
        limit = model.max_output_tokens
        output_tokens = min(completion.max_tokens or limit, limit)
        prompt_bytes = len(completion.prompt.encode())
        prompt_tokens = -(-prompt_bytes // BYTES_PER_TOKEN)
        account = admitted.account
        cost = 0
        if account:
            cost = costs.charge(
                prompt_bytes,
                output_tokens,
                prompt_bytes // MAX_BYTES_PER_TOKEN,
                account.burst,
            )
        return jobs.Job(
            request=ids.RequestId(str(self._services.next_request_number())),
            owner=self._services.owner,
            account=account.id if account else None,
            model=target.model,
            prompt=completion.prompt,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            cost=cost,
            interactive=(admitted.route.urgency is types.Urgency.INTERACTIVE),
            patience_s=admitted.route.patience_s,
            repeatable=admitted.route.repeatable,
            fingerprint=fingerprints.of(target.model, completion.prompt),
            isolation=isolation,
            deadline_s=asyncio.get_running_loop().time() + execution.MAX_RUN_S,
            jitter=random.random(),
            prefix=prefixes.digests(completion.prompt.encode()),
            rank=admitted.rank,
        )

    def _record_outcome(self, sink, route, request_id):
        if sink.refusal is None:
            self._services.metrics.count_answer(route)
            return
        refusals.record(self._services, sink.refusal, request_id, route)
