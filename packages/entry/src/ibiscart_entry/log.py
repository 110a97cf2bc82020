"""
ibiscart_entry.log
~~~~~~~~~~~~~~~~~~

JSON logs on standard output, one object a line, with a fixed prefix per component.
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_log"]

ROOT_NAME = "ibiscart"
RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


class _ComponentFormatter(JsonFormatter):
    """Puts the component's prefix in front: ``journal: `` for logger ``ibiscart.journal``."""

    def process_log_record(self, log_data):
        name = log_data.get("logger", "")
        message = log_data.get("message", "")
        prefix = name.rsplit(".", 1)[-1] + ": "
        if name.startswith(ROOT_NAME + ".") and not message.startswith(prefix):
            log_data["message"] = prefix + message
        return super().process_log_record(log_data)


def configure_log(level="info", *, fields=None, stream=None):
    """Sends the logs of all components to ``stream``, by default standard output.

    ``fields`` are added to each line, such as the entry id and the region. Calling it
    again replaces the earlier set-up.
    """
    handler = logging.StreamHandler(stream or sys.stdout)
    handler.setFormatter(
        _ComponentFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields=RENAMED,
            static_fields=fields or {},
        )
    )
    logger = logging.getLogger(ROOT_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    # a closed standard output must not stop the process
    logging.raiseExceptions = False
    return logger
