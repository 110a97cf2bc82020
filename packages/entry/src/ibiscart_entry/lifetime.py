"""
ibiscart_entry.lifetime
~~~~~~~~~~~~~~~~~~~~~~~

Start and end of a process, and why it ended, in its log.
"""

import logging
import os
import sys
import time

import click
import trio

from ibiscart_entry.isolation import describe_error
from ibiscart_entry.server import AddressError

__all__ = ["EXIT_ERROR", "ProcessLifetime"]

LOG = logging.getLogger("ibiscart.process")
EXIT_ERROR = 1


class ProcessLifetime:
    """Logs one line when the process starts and one, the last, when it ends.

    ``address_exit_code`` is the exit code for an address that can never be bound. ``clock`` returns
    monotonic seconds.
    """

    def __init__(self, address_exit_code, clock=time.monotonic):
        self._address_exit_code = address_exit_code
        self._clock = clock
        self._started_at = clock()

    def log_start(self, **fields):
        """Logs that the process starts."""
        fields.update(pid=os.getpid(), python=sys.version.partition(" ")[0])
        LOG.info("The process starts.", extra={**fields, "essential": True})

    def run(self, function, *args):
        """Runs an async function that returns the cause of the end; returns the exit code.

        An error that the function raises is the cause otherwise; it is logged, not raised. For an
        ``AddressError``, its message is written to standard error and the exit code is
        ``address_exit_code``.
        """
        try:
            cause = trio.run(function, *args)
        except Exception as error:
            address_error = _find_address_error(error)
            if address_error is not None:
                click.echo(str(address_error), err=True)
                self.log_end("address", self._address_exit_code, problems=[str(address_error)])
                return self._address_exit_code
            self.log_end("error", EXIT_ERROR, error=error)
            return EXIT_ERROR
        self.log_end(cause, 0)
        return 0

    def log_end(self, cause, exit_code, error=None, **fields):
        """Logs that the process ends, with its exit code and the seconds since its start."""
        fields.update(cause=cause, exit_code=exit_code)
        fields["uptime_seconds"] = round(self._clock() - self._started_at, 3)
        if error is not None:
            fields["error"] = describe_error(error)
        level = logging.CRITICAL if exit_code else logging.INFO
        extra = {**fields, "essential": True}
        LOG.log(level, "The process ends.", exc_info=error, extra=extra)


def _find_address_error(error):
    """Returns the first ``AddressError`` in an error or group of errors, None if there is none."""
    if isinstance(error, BaseExceptionGroup):
        return next(filter(None, map(_find_address_error, error.exceptions)), None)
    return error if isinstance(error, AddressError) else None
