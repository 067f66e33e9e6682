"""Records where streams begin, and finds where others began."""

import asyncio
import contextlib

from returns import result

from bulrushrudder.core import digests
from bulrushrudder.lifecycle import stream_origins
from bulrushrudder.protocol import stream_messages

# Records that come within this time go in one message.
BATCH_S = 0.02
VERSION_CHECK_INTERVAL_S = 0.25
FIND_TIMEOUT_S = 1.0
MAX_RECORDS_IN_MESSAGE = 500


class StreamRecorder:
    """Keeps the origins of this VM's streams.

    While a model has servers of several software versions, the control
    processes get them too, so that callers may come back to any VM.

    :param view: the View of the log.
    :param control_client: the ControlClient.
    """

    def __init__(self, view, control_client):
        self._view = view
        self._control_client = control_client
        self._origins_by_model = {}
        self._mixed_models = frozenset()
        self._unsent = []
        self._has_unsent = asyncio.Event()

    def begin(self, stream, model, software):
        """Record that a stream has its first event.

        :param stream: the caller's id of the request.
        :param model: id of its model.
        :param software: version of the software of its server.
        """
        origins = self._origins_by_model.get(model)
        if origins is None:
            origins = stream_origins.StreamOrigins()
            self._origins_by_model[model] = origins
        record = stream_origins.StreamRecord(digests.shorten(stream), software)
        if origins.add(record, _now_s()) and model in self._mixed_models:
            self._unsent.append(record)
            self._has_unsent.set()

    async def find(self, stream, model):
        """Return the version at which a stream began, None if unknown."""
        origins = self._origins_by_model.get(model)
        if origins is not None:
            software = origins.software(stream, _now_s())
            if software is not None:
                return software
        question = stream_messages.FindStream(digests.shorten(stream), model)
        match await self._control_client.ask(question, FIND_TIMEOUT_S):
            case result.Success(
                stream_messages.StreamFound(software=software)
            ):
                return software
        return None

    async def run(self):
        """Send records to the control processes until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(VERSION_CHECK_INTERVAL_S):
                    await self._has_unsent.wait()
            await asyncio.sleep(BATCH_S)
            self._has_unsent.clear()
            self._check_versions()
            self._send()

    def _check_versions(self):
        """Queue the recent streams of models that get a second version."""
        mixed_models = self._view.state.servers.mixed_models
        if mixed_models == self._mixed_models:
            return
        for model in mixed_models - self._mixed_models:
            origins = self._origins_by_model.get(model)
            if origins is not None:
                self._unsent += origins.recent(_now_s())
        self._mixed_models = mixed_models

    def _send(self):
        while self._unsent:
            records = tuple(self._unsent[:MAX_RECORDS_IN_MESSAGE])
            message = stream_messages.RecordStreams(records)
            if not self._control_client.send(message):
                del self._unsent[: -stream_origins.MAX_RECORDS]
                return
            del self._unsent[:MAX_RECORDS_IN_MESSAGE]


def _now_s():
    return asyncio.get_running_loop().time()
