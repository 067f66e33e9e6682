"""A response whose body is not copied into the write buffer as a whole."""

from aiohttp import web

PIECE_BYTES = 16 * 1024


class PacedResponse(web.Response):
    """A whole response that is written as its reader takes it."""

    async def write_eof(self, data=b''):
        """Write the body in pieces, each once there is room for it."""
        body = self.body
        if (
            not isinstance(body, bytes | bytearray)
            or len(body) <= PIECE_BYTES
            or self._must_be_empty_body
        ):
            await super().write_eof(data)
            return
        with memoryview(body) as view:
            for start in range(0, len(view), PIECE_BYTES):
                await self.write(bytes(view[start : start + PIECE_BYTES]))
        await web.StreamResponse.write_eof(self)
