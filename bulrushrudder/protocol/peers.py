"""Links to other processes, dialled when they are first needed."""

import asyncio

from returns import result

from bulrushrudder.protocol import link


class Peers:
    """Keeps one dialled link to each address.

    :param owner: this process.
    :param secret: the cluster secret.
    :param handler: serves messages that peers send on these links.
    """

    def __init__(self, owner, secret, handler):
        self._owner = owner
        self._secret = secret
        self._handler = handler
        self._links_by_address = {}
        self._locks_by_address = {}
        self._tasks = set()

    async def ask(self, address, message, timeout_s):
        """Ask a process; dials where no link is open.

        :returns: the answer, or a LinkError.
        """
        opened = await self._open(address)
        match opened:
            case result.Success(found):
                return await found.ask(message, timeout_s)
        return opened

    async def tell(self, address, message):
        """Send a message without an answer, if the peer can be reached."""
        match await self._open(address):
            case result.Success(found):
                found.tell(message)

    def close(self):
        """Close every link."""
        for found in self._links_by_address.values():
            found.close()

    async def _open(self, address):
        lock = self._locks_by_address.setdefault(address, asyncio.Lock())
        async with lock:
            found = self._links_by_address.get(address)
            if found is not None and not found.closed.is_set():
                return result.Success(found)
            dialled = await link.dial(
                address, self._owner, self._secret, self._handler
            )
            return dialled.map(lambda new: self._keep(address, new))

    def _keep(self, address, new):
        self._links_by_address[address] = new
        task = asyncio.create_task(new.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return new
