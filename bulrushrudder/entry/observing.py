"""Follows the log through any control process.

A control process that does not vouch in time is left for the next one,
also when its link looks alive.
"""

import asyncio
import zlib

from returns import result

from bulrushrudder.config import settings
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import errors
from bulrushrudder.protocol import link
from bulrushrudder.protocol import log_messages
from bulrushrudder.protocol import messages
from bulrushrudder.state import results

# A cut may leave two control processes without a quorum; the third must
# be found and have vouched before a change has to be in force, 2 s.
REDIAL_S = 0.05
ROUND_S = 0.25
CHANGE_OVER_S = 0.6
PROPOSE_S = 3.0


class Observing:
    """Keeps a View up to date.

    :param view: the View.
    :param controls: addresses of the control processes.
    """

    def __init__(self, view, owner, secret, controls):
        self._view = view
        self._owner = owner
        self._secret = secret
        self._controls = controls
        self._members = ()
        self._last = None
        self._link = None
        self._parts = bytearray()
        self._was_fresh = False
        self.changed = asyncio.Event()

    async def run(self):
        """Follow one control process after the other, until cancelled."""
        while True:
            self._last = self._next_address()
            await self._follow(self._last)
            await asyncio.sleep(REDIAL_S)

    def lead_to(self, controls):
        """Take the control addresses of new settings."""
        self._controls = controls

    def _next_address(self):
        """Return the control process to follow after the last one.

        Members that the log's processes have named go with those of the
        settings; entries begin at different ones.
        """
        found = sorted({*self._controls, *self._members}, key=str)
        if self._last is None:
            return found[zlib.crc32(self._owner.vm.encode()) % len(found)]
        later = [a for a in found if str(a) > str(self._last)]
        return later[0] if later else found[0]

    async def propose(self, command):
        """Ask the control process to commit a command.

        :returns: the Outcome.
        """
        if self._link is None:
            return results.Unavailable('no control process is linked')
        question = log_messages.Propose(codec.encode(command))
        match await self._link.ask(question, PROPOSE_S):
            case result.Success(log_messages.Proposed(outcome=data)):
                return codec.decode(data).value_or(
                    results.Unavailable('an invalid answer')
                )
            case result.Failure(errors.LinkError(detail=detail)):
                return results.Unavailable(detail)
        return results.Unavailable('an unexpected answer')

    async def announce(self, command, leaving):
        """Pass on a backend server's announcement.

        :returns: whether the leader took it in.
        """
        if self._link is None:
            return False
        question = log_messages.Announce(codec.encode(command), leaving)
        answer = await self._link.ask(question, PROPOSE_S)
        return answer == result.Success(messages.Acknowledged())

    async def wait_for(self, index):
        """Wait until the view has reached an index."""
        while self._view.index < index:
            self.changed.clear()
            await self.changed.wait()

    async def _follow(self, address):
        dialled = await link.dial(
            address, self._owner, self._secret, self._handle, True, True
        )
        match dialled:
            case result.Success(found):
                await self._serve(found)

    async def _serve(self, found):
        self._link = found
        found.send(log_messages.Observe(self._owner, self._view.index))
        rounds = asyncio.create_task(self._ask_rounds(found))
        try:
            await found.run()
        finally:
            self._link = None
            rounds.cancel()

    async def _ask_rounds(self, found):
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        while True:
            number = self._view.begin_round(loop.time())
            found.send(log_messages.FreshnessRequest(number, self._view.index))
            await asyncio.sleep(ROUND_S)
            now_s = loop.time()
            self._report_freshness(now_s)
            if min(now_s - begun_s, self._view.age_s(now_s)) > CHANGE_OVER_S:
                log.emit(catalogue.CONTROL_SILENT, peer=str(found.peer))
                found.close()

    def _report_freshness(self, now_s):
        fresh = self._view.fresh(now_s)
        if fresh != self._was_fresh:
            event = catalogue.VIEW_FRESH if fresh else catalogue.VIEW_STALE
            log.emit(event, index=self._view.index)
        self._was_fresh = fresh

    async def _handle(self, found, message):
        try:
            self._take(message)
        except AssertionError as error:
            log.emit(catalogue.MESSAGE_INVALID, detail=repr(error))
            found.close()

    def _take(self, message):
        match message:
            case log_messages.Entries(first=first, commands=commands):
                self._apply(first, commands)
            case log_messages.StateChunk():
                self._take_part(message)
            case log_messages.FreshnessResponse(round=number, index=index):
                self._view.confirm_round(number, index)
            case log_messages.Members(addresses=addresses):
                self._members = tuple(map(settings.parse_address, addresses))

    def _apply(self, first, commands):
        for index, data in enumerate(commands, first):
            self._view.apply(index, _decoded(data) if data else None)
        self.changed.set()

    def _take_part(self, part):
        """Collect the parts of a state, then take it."""
        if part.offset == 0:
            self._parts = bytearray()
        self._parts += part.data
        if len(self._parts) == part.total:
            self._view.restore(_decoded(bytes(self._parts)))
            self._parts = bytearray()
            self.changed.set()


def _decoded(data):
    match codec.decode(data):
        case result.Success(found):
            return found
        case result.Failure(error):
            raise AssertionError(error.problem)
    raise AssertionError('unreachable')
