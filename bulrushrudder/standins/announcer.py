"""Announces a stand-in to the system, as a backend server does."""

import asyncio

import aiohttp

RENEWAL_INTERVAL_S = 1.0


class Announcer:
    """Renews an announcement until it is stopped.

    :param url: the backend API of any VM.
    :param secret: the backends secret.
    :param announcement: the JSON content as a dict.
    """

    def __init__(self, session, url, secret, announcement):
        self._session = session
        self._url = url
        self._secret = secret
        self._announcement = announcement

    async def run(self):
        """Announce and renew until cancelled."""
        while True:
            await self.announce(False)
            await asyncio.sleep(RENEWAL_INTERVAL_S)

    async def announce(self, leaving):
        """Send one announcement.

        :returns: whether it was taken in.
        """
        content = {**self._announcement, 'leaving': leaving}
        try:
            async with self._session.post(
                f'{self._url}/announce',
                json=content,
                headers={'Authorization': f'Bearer {self._secret}'},
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False
