"""
tests.standins.objects
~~~~~~~~~~~~~~~~~~~~~~

Stand-in for the object store, with the faults of ``tests.standins.table``.
"""

from ibiscart_entry.server import Response
from tests.standins.table import ServiceFaults, main

PREFIX = "/v1/objects/"


class ObjectService:
    """Objects by key; ``operations`` counts requests by kind."""

    def __init__(self, seed=0):
        self.objects = {}
        self.faults = ServiceFaults(seed)
        self.operations = {"put": 0, "get": 0}

    async def handle(self, request):
        """Handles one request of the object store's interface."""
        if request.path == "/control":
            return self.faults.handle_control(request)
        is_write = request.method == "PUT"
        error_response = await self.faults.before_effect(is_write)
        if error_response is not None:
            return error_response
        return await self.faults.after_effect(self._respond(request, is_write))

    def _respond(self, request, is_write):
        """Stores or returns an object, without faults; returns the ``Response``."""
        key = request.path.removeprefix(PREFIX)
        if not request.path.startswith(PREFIX) or request.method not in ("GET", "PUT"):
            return Response.from_json(404, {"error": "no such path"})
        if is_write:
            self.operations["put"] += 1
            self.objects[key] = request.body
            return Response(204)
        self.operations["get"] += 1
        data = self.objects.get(key)
        if data is None:
            return Response.from_json(404, {"error": "no such object"})
        return Response(200, data, "application/octet-stream")


if __name__ == "__main__":
    main(ObjectService)
