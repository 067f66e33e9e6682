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
RECONNECT_DELAY_S = 0.05
FRESHNESS_INTERVAL_S = 0.25
FAILOVER_TIMEOUT_S = 0.6
PROPOSE_TIMEOUT_S = 3.0


class ControlClient:
    """Keeps a View up to date.

    :param view: the View.
    :param controls: addresses of the control processes.
    """

    def __init__(self, view, owner, secret, controls):
        self._view = view
        self._owner = owner
        self._secret = secret
        self._configured_addresses = controls
        self._member_addresses = ()
        self._current_address = None
        self._link = None
        self._state_buffer = bytearray()
        self._was_fresh = False
        self.changed = asyncio.Event()

    async def run(self):
        """Follow one control process after the other, until cancelled."""
        while True:
            self._current_address = self._next_address()
            await self._follow(self._current_address)
            await asyncio.sleep(RECONNECT_DELAY_S)

    def set_control_addresses(self, controls):
        """Take the control addresses of new settings."""
        self._configured_addresses = controls

    def _next_address(self):
        """Return the control process to follow after the last one.

        Members that the log's processes have named go with those of the
        settings; entries begin at different ones.
        """
        addresses = sorted(
            {*self._configured_addresses, *self._member_addresses}, key=str
        )
        if self._current_address is None:
            return addresses[
                zlib.crc32(self._owner.vm.encode()) % len(addresses)
            ]
        later = [a for a in addresses if str(a) > str(self._current_address)]
        return later[0] if later else addresses[0]

    async def propose(self, command):
        """Ask the control process to commit a command.

        :returns: the Outcome.
        """
        if self._link is None:
            return results.Unavailable('no control process is linked')
        question = log_messages.Propose(codec.encode(command))
        match await self._link.ask(question, PROPOSE_TIMEOUT_S):
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
        answer = await self._link.ask(question, PROPOSE_TIMEOUT_S)
        return answer == result.Success(messages.Noted())

    async def wait_for_index(self, index):
        """Wait until the view has reached an index."""
        while self._view.index < index:
            self.changed.clear()
            await self.changed.wait()

    async def _follow(self, address):
        dialled = await link.dial(
            address, self._owner, self._secret, self._handle, True, True
        )
        match dialled:
            case result.Success(link_):
                await self._use_link(link_)

    async def _use_link(self, link_):
        self._link = link_
        link_.tell(log_messages.Observe(self._owner, self._view.index))
        freshness_task = asyncio.create_task(self._confirm_freshness(link_))
        try:
            await link_.run()
        finally:
            self._link = None
            freshness_task.cancel()

    async def _confirm_freshness(self, link_):
        loop = asyncio.get_running_loop()
        connected_s = loop.time()
        while True:
            round_number = self._view.begin_round(loop.time())
            link_.tell(log_messages.AskVouch(round_number, self._view.index))
            await asyncio.sleep(FRESHNESS_INTERVAL_S)
            now_s = loop.time()
            self._report_freshness(now_s)
            if (
                min(now_s - connected_s, self._view.age_s(now_s))
                > FAILOVER_TIMEOUT_S
            ):
                log.emit(catalogue.CONTROL_SILENT, peer=str(link_.peer))
                link_.close()

    def _report_freshness(self, now_s):
        fresh = self._view.fresh(now_s)
        if fresh != self._was_fresh:
            event = catalogue.VIEW_FRESH if fresh else catalogue.VIEW_STALE
            log.emit(event, index=self._view.index)
        self._was_fresh = fresh

    async def _handle(self, link_, message):
        try:
            self._apply_message(message)
        except AssertionError as error:
            log.emit(catalogue.MESSAGE_INVALID, detail=repr(error))
            link_.close()

    def _apply_message(self, message):
        match message:
            case log_messages.Entries(first=first, commands=commands):
                self._apply_entries(first, commands)
            case log_messages.StatePart():
                self._collect_state_part(message)
            case log_messages.Vouch(round=round_number, index=index):
                self._view.vouched(round_number, index)
            case log_messages.Members(addresses=addresses):
                self._member_addresses = tuple(
                    map(settings.parse_address, addresses)
                )

    def _apply_entries(self, first, commands):
        for index, data in enumerate(commands, first):
            self._view.apply(index, _decode(data) if data else None)
        self.changed.set()

    def _collect_state_part(self, part):
        """Collect the parts of a state, then take it."""
        if part.offset == 0:
            self._state_buffer = bytearray()
        self._state_buffer += part.data
        if len(self._state_buffer) == part.total:
            self._view.restore(_decode(bytes(self._state_buffer)))
            self._state_buffer = bytearray()
            self.changed.set()


def _decode(data):
    match codec.decode(data):
        case result.Success(message):
            return message
        case result.Failure(error):
            raise AssertionError(error.problem)
    raise AssertionError('unreachable')
