"""Finishes the links that other processes have opened to this one."""

import asyncio

POLL_INTERVAL_S = 0.02


class AcceptedLinks:
    """The links that other processes have opened."""

    def __init__(self):
        self._links = set()
        self._refusing = False

    def add(self, link):
        """Add a link that has been accepted, or close it."""
        if self._refusing:
            link.close()
            return
        self._links.add(link)

    def remove(self, link):
        """Remove a link that has closed."""
        self._links.discard(link)

    def refuse(self):
        """Close links that are accepted from now on."""
        self._refusing = True

    async def finish(self, timeout_s, is_included=lambda link: True):
        """Answer the requests of peers, then let them close their links.

        A link that its peer has not closed in time is closed.

        :param timeout_s: longest wait in seconds.
        :param is_included: function that returns whether a link is
            finished; the others are left as they are.
        """
        until_s = asyncio.get_running_loop().time() + timeout_s
        links = [link for link in self._links if is_included(link)]
        await asyncio.gather(*(_finish(link, until_s) for link in links))


async def _finish(link, until_s):
    loop = asyncio.get_running_loop()
    while link.requests and loop.time() < until_s:
        await asyncio.sleep(POLL_INTERVAL_S)
    link.end()
    while not link.closed.is_set() and loop.time() < until_s:
        await asyncio.sleep(POLL_INTERVAL_S)
    link.close()
