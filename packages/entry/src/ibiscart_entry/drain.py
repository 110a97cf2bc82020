"""
ibiscart_entry.drain
~~~~~~~~~~~~~~~~~~~~

Graceful shutdown: no request that the load balancer sent is interrupted.
"""

import logging

import trio

from ibiscart_entry.signals import STOP_SIGNALS, ignore_signals, log_signal, open_signals

__all__ = ["Drain"]

LOG = logging.getLogger("ibiscart.drain")

# bytes sent at the very end of the balancer's lag arrive within this time; network delays
# between balancer and entry are a few milliseconds
SETTLE_SECONDS = 0.5


class Drain:
    """Drains one ``HttpServer`` after the first SIGTERM or SIGINT.

    ``settings`` is a ``DrainSettings`` message; its deadline counts from the signal.
    ``on_start`` are functions that are called first, such as those that turn readiness off
    and tell the peers. ``clock`` returns the monotonic time in seconds. Further signals
    change nothing: the deadline bounds the wait, and a shorter one would cut requests.
    """

    def __init__(self, settings, server, *, on_start=(), clock=trio.current_time):
        self._settings = settings
        self._server = server
        self._on_start = tuple(on_start)
        self._clock = clock
        self._started = None
        self._cut = 0

    @property
    def draining(self):
        """Whether the shutdown has begun."""
        return self._started is not None

    @property
    def cut(self):
        """Number of requests that were still open at the deadline."""
        return self._cut

    async def run(self, signals=None, task_status=trio.TASK_STATUS_IGNORED):
        """Waits for a signal, drains, and returns when the process may exit.

        ``signals`` is an open receiver of signal numbers; by default one of ``open_signals``.
        Returns the name of the signal.
        """
        if signals is None:
            with open_signals() as received:
                return await self.run(received, task_status=task_status)
        task_status.started()
        async for number in signals:
            name = log_signal(number, "serving")
            if number in STOP_SIGNALS:
                break
        LOG.info("The shutdown begins.", extra={"essential": True})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ignore_signals, signals, "draining")
            await self.drain()
            nursery.cancel_scope.cancel()
        return name

    async def drain(self):
        """Runs the steps of the shutdown; returns the number of requests that were cut."""
        self._started = self._clock()
        for call in self._on_start:
            call()
        if not self._server.bound:
            return 0
        self._server.close_connections()
        # the balancer goes on sending until it has noticed that the entry is not ready
        await self._sleep(self._settings.balancer_lag_seconds)
        self._server.stop_accepting()
        await self._sleep(SETTLE_SECONDS)
        self._server.close_idle()
        with trio.move_on_after(max(0, self._remaining())):
            await self._server.wait_closed()
        self._cut = self._server.requests
        fields = {"seconds": round(self._clock() - self._started, 3), "cut": self._cut}
        if self._cut:
            LOG.error("The deadline cut open requests.", extra=fields)
        else:
            LOG.info("The shutdown is complete.", extra=fields)
        return self._cut

    def _remaining(self):
        return self._started + self._settings.deadline_seconds - self._clock()

    async def _sleep(self, seconds):
        await trio.sleep(max(0, min(seconds, self._remaining())))
