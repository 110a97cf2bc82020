"""
ibiscart_entry.isolation
~~~~~~~~~~~~~~~~~~~~~~~~

Confines unexpected errors to the task in which they occur.
"""

import logging

import trio

__all__ = ["describe_error", "record_error", "run_isolated", "run_supervised"]

LOG = logging.getLogger("ibiscart.isolation")
# pause before a component starts again, doubled after each further error up to the maximum
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 5.0


async def run_isolated(metrics, kind, name, function, *args, passed=()):
    """Awaits ``function(*args)``; an unexpected error ends this call alone.

    The error is logged with its traceback and counted; ``kind`` is the kind of the task, which is
    the label of the counter, and ``name`` identifies it among its kind. Errors of the types in the
    tuple ``passed`` are raised. Returns True if there was no error.
    """
    try:
        await function(*args)
    except passed:
        raise
    except BaseExceptionGroup as group:
        raised, unexpected = group.split(
            lambda error: not isinstance(error, BaseExceptionGroup)
            and (isinstance(error, passed) or not isinstance(error, Exception))
        )
        if unexpected is not None:
            record_error(metrics, kind, name, unexpected)
        if raised is not None:
            raise raised from None
        return False
    except Exception as error:
        record_error(metrics, kind, name, error)
        return False
    return True


async def run_supervised(metrics, name, function, *args):
    """Runs a component, which starts again after a growing pause when it ends with an error."""
    pause_seconds = FIRST_PAUSE_SECONDS
    started_at = trio.current_time()
    while not await run_isolated(metrics, "component", name, function, *args):
        if trio.current_time() - started_at > MAX_PAUSE_SECONDS:
            pause_seconds = FIRST_PAUSE_SECONDS
        await trio.sleep(pause_seconds)
        pause_seconds = min(2 * pause_seconds, MAX_PAUSE_SECONDS)
        started_at = trio.current_time()


def record_error(metrics, kind, name, error):
    """Logs and counts an unexpected error of the task ``name`` of a kind."""
    metrics.count("task_errors", kind)
    LOG.error(
        "A task ended with an unexpected error.",
        exc_info=error,
        extra={"kind": kind, "task_name": name, "error": describe_error(error)},
    )


def describe_error(error):
    """Returns the type and text of an error, of the first one in a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f"{type(error).__name__}: {error}"[:300]
