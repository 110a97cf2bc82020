"""
ibiscart_entry.routes.probe
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Paths of the load balancer and of the metrics collector.
"""

from ibiscart_entry.route import Route, Routes
from ibiscart_entry.server import Response

__all__ = ["ProbeRoutes"]


class ProbeRoutes(Routes):
    """Open paths that tell whether the entry lives, is ready, and what it counts."""

    ROUTES = (
        Route("GET", "/live", "live"),
        Route("GET", "/ready", "ready"),
        Route("GET", "/metrics", "metrics"),
    )

    async def live(self, call):
        """Answers as long as the process serves."""
        return self._reply(call, {"live": True})

    async def ready(self, call):
        """Tells the load balancer whether to send requests here."""
        cause = self._services.unbalanced_cause()
        return self._reply(call, {"ready": not cause, "cause": cause}, 503 if cause else 200)

    async def metrics(self, call):
        """Returns counters, gauges and latencies."""
        return Response(200, self._services.metrics.render().encode(), "text/plain; version=0.0.4")
