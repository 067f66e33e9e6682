"""Where an answer is held while it is read from a server."""

from bulrushrudder.utils import client_connection


def of_request(request):
    """Return the AnswerRoom of a request; None if there is no limit on it.

    :param request: the aiohttp request.
    """
    if isinstance(request.protocol, client_connection.ClientConnection):
        return AnswerRoom(request.protocol)
    return None


class AnswerRoom:
    """Holds an answer at the connection of the client that gets it.

    :param connection: the ClientConnection.
    """

    def __init__(self, connection):
        self._connection = connection

    @property
    def is_open(self):
        """Return whether the client is still connected."""
        return self._connection.ledger.has(self._connection)

    async def take(self, size, give_up):
        """Hold what has been read so far; wait while there is no room.

        :param size: bytes.
        :param give_up: function that ends the reading of the answer.
        """
        connection = self._connection
        await connection.ledger.hold_reply(connection, size, give_up)

    def end_reading(self):
        """Record that the answer has been read, or will not be."""
        self._connection.ledger.end_reply(self._connection)
