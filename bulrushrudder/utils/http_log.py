"""The logger that aiohttp uses for what peers get wrong."""

import logging

from bulrushrudder.events import catalogue
from bulrushrudder.events import log


class _HttpErrorHandler(logging.Handler):
    """Logs warnings and errors of aiohttp without data from the peer."""

    def emit(self, record):
        """Log the exception type of a record."""
        exception = record.exc_info[1] if record.exc_info else None
        detail = (
            type(exception).__name__
            if exception
            else 'HTTP error without an exception'
        )
        log.emit(catalogue.HTTP_INVALID, detail=detail)


def _make_http_logger():
    logger = logging.Logger('bulrushrudder.http', logging.WARNING)
    logger.addHandler(_HttpErrorHandler())
    return logger


LOGGER = _make_http_logger()
