"""Announcements of a stand-in, sent as a backend server sends them."""

import asyncio

import aiohttp

RENEWAL_INTERVAL_S = 1.0


class Announcer:
    """Sends an announcement and renews it at a fixed interval.

    :param url: base URL of the backend API of any VM.
    :param secret: the secret of backend servers, as text.
    :param announcement: the JSON content as a dict.
    """

    def __init__(self, session, url, secret, announcement):
        self._session = session
        self._url = url
        self._secret = secret
        self._announcement = announcement

    async def run(self):
        """Send the announcement every second until cancelled."""
        while True:
            await self.announce(False)
            await asyncio.sleep(RENEWAL_INTERVAL_S)

    async def announce(self, leaving):
        """Send one announcement.

        :param leaving: whether the server wants no new requests.
        :returns: whether the VM accepted it; False also if it did not
            answer.
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
