"""
ibiscart_entry.membership
~~~~~~~~~~~~~~~~~~~~~~~~~

The platform's list of machines, and the commands that follow from it.
"""

import logging

import trio
from google.protobuf.json_format import Parse, ParseError

from ibiscart_entry.client import TransportError
from ibiscart_entry.store import address_of
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.target_pb2 import MembershipList
from ibiscart_schema.generated.types_pb2 import TARGET_LEAVING, TARGET_LOST, WorkerInfo

__all__ = ["Membership", "Upkeep"]

LOG = logging.getLogger("ibiscart.membership")
TIMEOUT_SECONDS = 1.0
# a machine that is missing from fewer lists than this is kept: the list may flap
MISSING_POLLS = 3
MACHINES_KEPT = 4096
# after this many lists of lower versions in a row the numbering must have begun anew
STALE_POLLS = 15
SHARES_STABLE_SECONDS = 2.0
# an entry uses its shares for up to 10 s after its position was last confirmed
SHARES_SILENCE_SECONDS = 10.0


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
        self._body = None
        self._etag = ""
        self._stale = 0
        self._readable = True
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
        """Waits until a poll has brought a list that differs from the one before."""
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
            headers = self._condition()
            response = await self._client.request(
                "GET", "/v1/members", headers=headers, timeout=TIMEOUT_SECONDS
            )
            if response.status != 200 and not (response.status == 304 and headers):
                raise TransportError(f"status_{response.status}", True)
            if not self._missing and (response.status == 304 or response.body == self._body):
                self._readable = True
                self._stale = 0
                self._report_leaving()
                return True
            members = Parse(response.body, MembershipList(), ignore_unknown_fields=True)
        except (TransportError, ParseError, UnicodeDecodeError) as error:
            if self._readable:
                LOG.warning("membership: The list is unreadable.", extra={"cause": str(error)})
            self._readable = False
            return False
        self._readable = True
        if members.version < self._version and self._stale < STALE_POLLS:
            self._stale += 1
            LOG.info("membership: A stale list was ignored.", extra={"version": members.version})
            return False
        self._take(members)
        self._body = response.body
        self._etag = response.headers.get("etag", "")
        return True

    def _condition(self):
        """Headers that ask for the list only if it has changed, when its server supports that.

        A list of 57 machines has 11 KB, and an entry may use 8 KB a second. A machine that is
        missing is counted by whole lists.
        """
        return [("if-none-match", self._etag)] if self._etag and not self._missing else []

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
        self._report_leaving()
        self._changed.set()
        self._changed = trio.Event()

    def _report_leaving(self):
        if self._signs is not None:
            for machine in self.machines.values():
                if machine.leaving and machine.role != "entry":
                    if self._signs.eligible(machine.id):
                        self._signs.report(machine.id, TARGET_LEAVING, "membership")

    def _with_role(self, role):
        return [machine for machine in self.machines.values() if machine.role == role]


class Upkeep:
    """Commands that keep workers and share grants in step with membership and heartbeats."""

    def __init__(self, journal, peers, membership, clock):
        self._journal = journal
        self._peers = peers
        self._membership = membership
        self._clock = clock
        self._entries = None
        self._since = 0.0

    def reset(self):
        """Forgets how long the set of entries has been stable."""
        self._entries = None

    def commands(self):
        """Returns the commands that are due."""
        commands = []
        entries = self._stable_entries()
        if entries is not None and tuple(entries) != self._journal.ledger.share_entries:
            command = Command()
            command.grant_shares.entries.extend(entries)
            commands.append(command)
        if self._membership is not None:
            commands.extend(self._worker_commands())
        return commands

    def _stable_entries(self):
        entries = set(self._peers.live())
        for entry_id in self._journal.ledger.share_entries:
            # an entry that is silent for less time may still use its share
            if self._peers.silence(entry_id) < SHARES_SILENCE_SECONDS:
                entries.add(entry_id)
        entries = sorted(entries)
        if entries != self._entries:
            self._entries = entries
            self._since = self._clock()
        stable = self._clock() - self._since >= SHARES_STABLE_SECONDS
        return entries if stable else None

    def _worker_commands(self):
        known = self._journal.ledger.workers
        register = Command()
        leaving = []
        for machine in self._membership.workers():
            info = WorkerInfo(
                id=machine.id,
                address=machine.address,
                data_centre=machine.data_centre,
                rack=machine.rack,
                capacity=machine.capacity,
            )
            worker = known.get(machine.id)
            if worker is None or worker.info() != info:
                register.register_workers.workers.append(info)
            if machine.leaving and (
                worker is None or worker.state not in (TARGET_LEAVING, TARGET_LOST)
            ):
                command = Command()
                command.report_worker.worker_id = machine.id
                command.report_worker.state = TARGET_LEAVING
                command.report_worker.cause = "membership"
                leaving.append(command)
        return ([register] if register.register_workers.workers else []) + leaving
