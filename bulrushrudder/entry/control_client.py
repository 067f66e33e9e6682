"""Follows the log and proposes commands through a control process.

If a control process does not confirm freshness in time, the client
switches to the next one, even if the link still looks alive. One that is
sending a snapshot or a large entry is given the time to finish.
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

# A network partition may leave two control processes without a quorum. The
# client must then reach a third one that confirms the view within 2 s, the
# time in which a change has to be in force.
RECONNECT_DELAY_S = 0.05
FRESHNESS_INTERVAL_S = 0.25
FAILOVER_TIMEOUT_S = 0.6
PROPOSE_TIMEOUT_S = 3.0


class ControlClient:
    """Keeps a View up to date and sends commands to the leader.

    It is linked to one control process at a time, which forwards commands
    to the leader.

    :param view: the View to update.
    :param owner: the Owner that identifies this process.
    :param secret: the cluster secret.
    :param controls: addresses of the control processes.
    :param learns_members: whether the addresses are seeds, so that members
        which the control processes report are followed too. Otherwise the
        addresses are those by which this VM reaches all of them.
    :ivar changed: event that is set when the view changes.
    """

    def __init__(self, view, owner, secret, controls, learns_members=False):
        self._view = view
        self._owner = owner
        self._secret = secret
        self._configured_addresses = controls
        self._learns_members = learns_members
        self._member_addresses = ()
        self._current_address = None
        self._link = None
        self._state_buffer = bytearray()
        self._chunk_s = float('-inf')
        self._was_fresh = False
        self._logged_zones = frozenset()
        self.changed = asyncio.Event()

    async def run(self):
        """Follow one control process after another until cancelled."""
        while True:
            self._current_address = self._next_address()
            await self._follow(self._current_address)
            await asyncio.sleep(RECONNECT_DELAY_S)

    def set_control_addresses(self, controls):
        """Replace the configured addresses of the control processes.

        They are used for the next connection.
        """
        self._configured_addresses = controls

    def _next_address(self):
        """Return the address of the control process to follow next.

        The candidates are the configured addresses and the members that
        the control processes reported. The first choice depends on the
        VM's id, so that entry processes spread over the control processes.
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
        """Propose a command and wait until it is committed.

        :returns: the Outcome; Unavailable if the control process cannot be
            reached or does not reply in time.
        """
        if self._link is None:
            return results.Unavailable('not connected to a control process')
        request = log_messages.Propose(codec.encode(command))
        match await self._link.ask(request, PROPOSE_TIMEOUT_S):
            case result.Success(log_messages.Proposed(outcome=data)):
                return codec.decode(data).value_or(
                    results.Unavailable(
                        'the control process sent an invalid outcome'
                    )
                )
            case result.Failure(errors.LinkError(detail=detail)):
                return results.Unavailable(detail)
        return results.Unavailable(
            'the control process sent an unexpected reply to a proposal'
        )

    async def announce(self, command, leaving):
        """Forward the announcement of a backend server to the leader.

        :param command: the JoinServer command.
        :param leaving: whether the server is about to leave.
        :returns: whether the leader recorded it.
        """
        if self._link is None:
            return False
        request = log_messages.Announce(codec.encode(command), leaving)
        answer = await self._link.ask(request, PROPOSE_TIMEOUT_S)
        return answer == result.Success(messages.Acknowledged())

    async def ask(self, request, timeout_s):
        """Send a request to the control process and wait for its reply.

        :returns: the reply, or a LinkError.
        """
        if self._link is None:
            return result.Failure(
                errors.LinkError(
                    errors.LinkProblem.CLOSED,
                    'not connected to a control process',
                    False,
                )
            )
        return await self._link.ask(request, timeout_s)

    def send(self, message):
        """Send a message without a reply; return whether it was sent."""
        if self._link is None:
            return False
        self._link.send(message)
        return True

    async def wait_for_index(self, index):
        """Wait until the view includes an index of the log."""
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
        link_.send(log_messages.Observe(self._owner, self._view.index))
        freshness_task = asyncio.create_task(self._confirm_freshness(link_))
        try:
            await link_.run()
        finally:
            self._link = None
            freshness_task.cancel()

    async def _confirm_freshness(self, link_):
        """Ask for confirmations of the view; close a link without them."""
        loop = asyncio.get_running_loop()
        connected_s = loop.time()
        while True:
            round_number = self._view.begin_round(loop.time())
            link_.send(
                log_messages.FreshnessRequest(round_number, self._view.index)
            )
            await asyncio.sleep(FRESHNESS_INTERVAL_S)
            now_s = loop.time()
            self._report_freshness(now_s)
            # The next control process would send a snapshot or a large entry
            # from its beginning.
            heard_s = max(connected_s, self._chunk_s, link_.piece_s)
            if (
                min(now_s - heard_s, self._view.age_s(now_s))
                > FAILOVER_TIMEOUT_S
            ):
                log.emit(catalogue.CONTROL_SILENT, peer=str(link_.peer))
                link_.close()

    def _report_freshness(self, now_s):
        fresh = self._view.is_fresh(now_s)
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
            case log_messages.StateChunk():
                self._collect_state_part(message)
            case log_messages.FreshnessResponse(
                round=round_number, index=index
            ):
                self._view.confirm_round(round_number, index)
            case log_messages.Members(addresses=addresses) if (
                self._learns_members
            ):
                self._member_addresses = tuple(
                    map(settings.parse_address, addresses)
                )

    def _apply_entries(self, first, commands):
        for index, data in enumerate(commands, first):
            self._view.apply(index, _decode(data) if data else None)
        self._view_changed()

    def _collect_state_part(self, part):
        """Collect the parts of a snapshot and restore the view from it."""
        self._chunk_s = asyncio.get_running_loop().time()
        if part.offset == 0:
            self._state_buffer = bytearray()
        self._state_buffer += part.data
        if len(self._state_buffer) == part.total:
            self._view.restore(_decode(bytes(self._state_buffer)))
            self._state_buffer = bytearray()
            self._view_changed()

    def _view_changed(self):
        self.changed.set()
        zones = self._view.state.evacuations.zones
        if zones != self._logged_zones:
            self._logged_zones = zones
            log.emit(
                catalogue.EVACUATIONS_APPLIED,
                zones=' '.join(sorted(zones)),
                index=self._view.index,
            )


def _decode(data):
    match codec.decode(data):
        case result.Success(message):
            return message
        case result.Failure(error):
            raise AssertionError(error.problem)
    raise AssertionError(
        'unreachable: codec.decode gave neither a Success nor a Failure'
    )
