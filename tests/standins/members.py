"""
tests.standins.members
~~~~~~~~~~~~~~~~~~~~~~

Stand-in for the membership service, with lag and the faults of ``tests.standins.table``.

``POST /machines`` with a ``MembershipList`` replaces the list, ``PUT /machines/<id>`` with
a ``VirtualMachine`` adds or changes one machine, and ``DELETE /machines/<id>`` removes it.
Each change becomes visible after ``lag`` seconds, which ``POST /lag`` sets with ``{"lag": S}``.
"""

import json

import trio
from google.protobuf.json_format import MessageToJson, Parse

from ibiscart_entry.server import Response
from ibiscart_schema.generated.target_pb2 import MembershipList, VirtualMachine
from tests.standins.table import ServiceFaults, main


class MemberService:
    """Machines by id; a read returns the list as it was ``lag`` seconds ago."""

    def __init__(self, seed=0):
        self.faults = ServiceFaults(seed)
        self.lag = 0.0
        self._machines = {}
        self._version = 1
        self._visible_list = MembershipList(version=1)
        self._pending = []

    def set_machine(self, machine):
        """Adds a machine, or replaces the one with the same id."""
        self._machines[machine.id] = machine
        self._schedule_snapshot()

    def remove(self, machine_id):
        """Removes a machine, if it exists."""
        self._machines.pop(machine_id, None)
        self._schedule_snapshot()

    def replace(self, machines):
        """Replaces all machines."""
        self._machines = {machine.id: machine for machine in machines}
        self._schedule_snapshot()

    async def handle(self, request):
        """Handles one request of the membership service's interface or of a test."""
        if request.path == "/control":
            return self.faults.handle_control(request)
        if request.path == "/lag":
            self.lag = float(json.loads(request.body)["lag"])
            return Response.from_json(200, {})
        if request.path.startswith("/machines"):
            return self._edit_machines(request)
        if request.path != "/v1/members" or request.method != "GET":
            return Response.from_json(404, {"error": "no such path"})
        error_response = await self.faults.before_effect(False)
        if error_response is not None:
            return error_response
        member_list = self._lagged_list()
        headers = [("etag", f'"{member_list.version}"')]
        if request.headers.get("if-none-match") == headers[0][1]:
            return await self.faults.after_effect(Response(304, headers=headers))
        text = MessageToJson(member_list, preserving_proto_field_name=True, indent=None)
        return await self.faults.after_effect(Response(200, text.encode(), headers=headers))

    def _edit_machines(self, request):
        """Changes the machines as a request to ``/machines`` says; returns the new version."""
        machine_id = request.path.removeprefix("/machines").strip("/")
        if request.method == "POST" and not machine_id:
            self.replace(Parse(request.body, MembershipList()).machines)
        elif request.method == "PUT" and machine_id:
            self.set_machine(Parse(request.body, VirtualMachine()))
        elif request.method == "DELETE" and machine_id:
            self.remove(machine_id)
        else:
            return Response.from_json(405, {"error": "no such operation"})
        return Response.from_json(200, {"version": self._version})

    def _schedule_snapshot(self):
        """Makes the present machines visible, under a new version, after ``lag`` seconds."""
        self._version += 1
        snapshot = MembershipList(version=self._version, machines=self._machines.values())
        self._pending.append((self._now() + self.lag, snapshot))

    def _lagged_list(self):
        """Returns the ``MembershipList`` as it was ``lag`` seconds ago."""
        while self._pending and self._pending[0][0] <= self._now():
            self._visible_list = self._pending.pop(0)[1]
        return self._visible_list

    def _now(self):
        """Returns the event loop's time in seconds."""
        try:
            return trio.current_time()
        except RuntimeError:
            # outside the event loop the time is minus infinity, so membership changes made during
            # setup are visible without the lag
            return float("-inf")


if __name__ == "__main__":
    main(MemberService)
