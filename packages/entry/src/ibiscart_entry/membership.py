"""
ibiscart_entry.membership
~~~~~~~~~~~~~~~~~~~~~~~~~

The platform's list of machines, polled; the last good list is kept.
"""

import logging

import trio
from google.protobuf.json_format import Parse, ParseError

from ibiscart_entry.client import TransportError
from ibiscart_entry.store import address_of
from ibiscart_schema.generated.target_pb2 import MembershipList
from ibiscart_schema.generated.types_pb2 import TARGET_LEAVING

__all__ = ["Membership"]

LOG = logging.getLogger("ibiscart.membership")
TIMEOUT_SECONDS = 1.0
# a machine that is missing from fewer lists than this is kept: the list may flap
MISSING_POLLS = 3
MACHINES_KEPT = 4096
# after this many lists of lower versions in a row the numbering must have begun anew
STALE_POLLS = 15


class Membership:
    """Machines by id, as the newest good list names them.

    ``machines`` maps ids to ``VirtualMachine`` messages. A list with a lower version than
    the newest one is stale and ignored. A leaving machine stays marked as leaving until it
    is gone or has a new address, because a list that flaps must not give it new work.
    """

    def __init__(self, client, poll_seconds=2.0, signs=None):
        self._client = client
        self._poll_seconds = poll_seconds
        self._signs = signs
        self._missing = {}
        self._version = 0
        self._stale = 0
        self._changed = trio.Event()
        self.machines = {}

    @classmethod
    def from_config(cls, settings, connect, signs=None):
        """Builds it from ``MembershipSettings``; ``connect`` maps an address to a client."""
        return cls(connect(address_of(settings.url)), settings.poll_seconds, signs)

    @property
    def version(self):
        """Version of the newest good list; 0 before the first."""
        return self._version

    def entries(self):
        """Returns the entry machines."""
        return self._with_role("entry")

    def workers(self):
        """Returns the worker machines."""
        return self._with_role("worker")

    def runners(self):
        """Returns the runner machines."""
        return self._with_role("runner")

    async def wait_changed(self):
        """Waits until a poll has brought a new list."""
        await self._changed.wait()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Polls until cancelled; started after the first attempt."""
        await self.poll()
        task_status.started()
        while True:
            await trio.sleep(self._poll_seconds)
            await self.poll()

    async def poll(self):
        """Reads the list once; returns whether it was good."""
        try:
            response = await self._client.request("GET", "/v1/members", timeout=TIMEOUT_SECONDS)
            if response.status != 200:
                raise TransportError(f"status_{response.status}", True)
            members = Parse(response.body, MembershipList(), ignore_unknown_fields=True)
        except (TransportError, ParseError, UnicodeDecodeError) as error:
            LOG.warning("membership: The list could not be read.", extra={"cause": str(error)})
            return False
        if members.version < self._version and self._stale < STALE_POLLS:
            self._stale += 1
            LOG.info("membership: A stale list was ignored.", extra={"version": members.version})
            return False
        self._take(members)
        return True

    def _take(self, members):
        self._version = members.version
        self._stale = 0
        machines = {m.id: m for m in members.machines[:MACHINES_KEPT]}
        for machine_id, known in self.machines.items():
            new = machines.get(machine_id)
            if new is None:
                self._missing[machine_id] = self._missing.get(machine_id, 0) + 1
                if self._missing[machine_id] < MISSING_POLLS:
                    machines[machine_id] = known
                    continue
            elif known.leaving and new.address == known.address:
                new.leaving = True
            self._missing.pop(machine_id, None)
        self.machines = machines
        if self._signs is not None:
            for machine in machines.values():
                if machine.leaving and machine.role != "entry":
                    if self._signs.eligible(machine.id):
                        self._signs.report(machine.id, TARGET_LEAVING, "membership")
        self._changed.set()
        self._changed = trio.Event()

    def _with_role(self, role):
        return [machine for machine in self.machines.values() if machine.role == role]
