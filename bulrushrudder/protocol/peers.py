"""Links to other processes, dialled on first use."""

import asyncio

from returns import result

from bulrushrudder.protocol import link

REDIAL_DELAY_S = 0.2


class Peers:
    """Keeps one dialled link to each address.

    :param owner: this process.
    :param secret: the cluster secret.
    :param handler: serves messages that peers send on these links.
    :param monitor_when_idle: whether to close links to silent peers also
        while no request is pending.
    :param short_timeouts: whether to use the shorter connect, heartbeat
        and silence timeouts.
    """

    def __init__(
        self,
        owner,
        secret,
        handler,
        monitor_when_idle=False,
        short_timeouts=False,
    ):
        self._owner = owner
        self._secret = secret
        self._handler = handler
        self._monitor_when_idle = monitor_when_idle
        self._short_timeouts = short_timeouts
        self._links_by_address = {}
        self._locks_by_address = {}
        self._tasks = set()
        self._dialling_addresses = set()

    async def ask(self, address, message, timeout_s):
        """Send a request to a process and wait for its response.

        Dials if no link is open.

        :param timeout_s: seconds to wait for the response.
        :returns: the response, or a LinkError.
        """
        opened = await self._open(address)
        match opened:
            case result.Success(open_link):
                return await open_link.ask(message, timeout_s)
        return opened

    async def send(self, address, message):
        """Send a one-way message; drop it if the peer is unreachable."""
        match await self._open(address):
            case result.Success(open_link):
                open_link.send(message)

    async def can_reach(self, address):
        """Return whether a link to a process is open or could be opened."""
        return isinstance(await self._open(address), result.Success)

    def send_or_drop(self, address, message):
        """Send a one-way message without waiting.

        If no link is open, drop the message and dial in the background.
        """
        open_link = self._links_by_address.get(address)
        if open_link is not None and not open_link.closed.is_set():
            open_link.send(message)
            return
        self.keep_open(address)

    def keep_open(self, address):
        """Dial a process in the background unless a link is open."""
        open_link = self._links_by_address.get(address)
        if open_link is not None and not open_link.closed.is_set():
            return
        if address in self._dialling_addresses:
            return
        self._dialling_addresses.add(address)
        self._spawn(self._dial(address))

    async def _dial(self, address):
        try:
            await self._open(address)
            await asyncio.sleep(REDIAL_DELAY_S)
        finally:
            self._dialling_addresses.discard(address)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self):
        """Close every link."""
        for open_link in self._links_by_address.values():
            open_link.close()

    async def _open(self, address):
        lock = self._locks_by_address.setdefault(address, asyncio.Lock())
        async with lock:
            open_link = self._links_by_address.get(address)
            if open_link is not None and not open_link.closed.is_set():
                return result.Success(open_link)
            dialled = await link.dial(
                address,
                self._owner,
                self._secret,
                self._handler,
                self._monitor_when_idle,
                self._short_timeouts,
            )
            return dialled.map(lambda new: self._register(address, new))

    def _register(self, address, new):
        self._links_by_address[address] = new
        self._spawn(new.run())
        return new
