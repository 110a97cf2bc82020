"""
ibiscart_entry.probe
~~~~~~~~~~~~~~~~~~~~

Finds runners that accept connections again.
"""

import trio

from ibiscart_entry.client import TransportError
from ibiscart_schema.generated.types_pb2 import TARGET_LIVE, TARGET_LOST

__all__ = ["RunnerProbe"]

PROBE_SECONDS = 2.0
# any answer will do; the path has no GET
PROBE_PATH = "/v1/run"


class RunnerProbe:
    """Calls the lost runners that ``peers.owner_of`` assigns to this entry.

    A runner that says that it is leaving is not called: it answers too.
    """

    def __init__(self, entry_id, peers, membership, metrics, connect):
        self._entry_id = entry_id
        self._peers = peers
        self._membership = membership
        self._metrics = metrics
        self._connect = connect

    async def run(self):
        """Probes until cancelled."""
        while True:
            await trio.sleep(PROBE_SECONDS)
            async with trio.open_nursery() as nursery:
                for machine in self._membership.runners():
                    if self._is_due(machine):
                        nursery.start_soon(self._probe, machine)

    def _is_due(self, machine):
        if machine.leaving or self._peers.signs.state(machine.id) != TARGET_LOST:
            return False
        return self._peers.owner_of(f"runner/{machine.id}") == self._entry_id

    async def _probe(self, machine):
        client = self._connect(machine.address, max_connections=1)
        try:
            await client.request("GET", PROBE_PATH, timeout=PROBE_SECONDS)
            self._peers.signs.report(machine.id, TARGET_LIVE, "answers")
        except TransportError as error:
            self._metrics.count("target_errors", f"probe_{error.reason}")
        finally:
            await client.aclose()
