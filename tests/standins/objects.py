"""
tests.standins.objects
~~~~~~~~~~~~~~~~~~~~~~

Object store with the faults of ``tests.standins.table``.
"""

from ibiscart_entry.server import Response
from tests.standins.table import ServiceFaults, main

PREFIX = "/v1/objects/"


class ObjectService:
    """Objects by key."""

    def __init__(self, seed=0):
        self.objects = {}
        self.faults = ServiceFaults(seed)
        self.operations = {"put": 0, "get": 0}

    async def handle(self, request):
        if request.path == "/control":
            return self.faults.control(request)
        write = request.method == "PUT"
        refusal = await self.faults.before_effect(write)
        if refusal is not None:
            return refusal
        return await self.faults.after_effect(self._answer(request, write))

    def _answer(self, request, write):
        key = request.path.removeprefix(PREFIX)
        if not request.path.startswith(PREFIX) or request.method not in ("GET", "PUT"):
            return Response.from_json(404, {"error": "no such path"})
        if write:
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
