"""
ibiscart_entry.coordination.announcer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells the leader of accepted and cancelled jobs, ahead of the store's feed.
"""

import json
import logging

import trio

from ibiscart_entry.client import TransportError
from ibiscart_entry.server import Response

__all__ = ["ANNOUNCE_PATH", "Announcer"]

LOG = logging.getLogger("ibiscart.announcer")
ANNOUNCE_PATH = "/v1/announce"
# the feed brings what is dropped here
MAX_WAITING = 500
# a leader in reach answers in some 20 ms; the feed of jobs makes up for what is late
CALL_SECONDS = 0.5
# some 2 KB a call
IDS_PER_CALL = 100


class Announcer:
    """Sends job ids to the leader's address; a lost message costs only time."""

    def __init__(self, leadership, leader, connect, metrics):
        self._leadership = leadership
        self._leader = leader
        self._connect = connect
        self._metrics = metrics
        self._send, self._receive = trio.open_memory_channel(MAX_WAITING)
        self._clients = {}

    def announce(self, job_id):
        """Queues a job id; drops it when too many wait."""
        if self._leader.coordinator is not None:
            self._leader.coordinator.announce([job_id])
            return
        try:
            self._send.send_nowait(job_id)
        except trio.WouldBlock:
            self._metrics.count("dropped", "announcement")

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Sends what is queued until cancelled."""
        task_status.started()
        while True:
            job_ids = [await self._receive.receive()]
            while len(job_ids) < IDS_PER_CALL:
                try:
                    job_ids.append(self._receive.receive_nowait())
                except trio.WouldBlock:
                    break
            address = self._leadership.leader_address
            if address:
                await self._call(address, job_ids)

    async def handle(self, request):
        """Takes the announcements of other entries."""
        if self._leader.coordinator is not None:
            self._leader.coordinator.announce(json.loads(request.body)["jobs"])
        return Response.from_json(200, {})

    async def _call(self, address, job_ids):
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = self._connect(address)
        body = json.dumps({"jobs": job_ids}).encode()
        self._metrics.count("peer_messages", "announce")
        try:
            await client.request("POST", ANNOUNCE_PATH, body=body, timeout=CALL_SECONDS)
        except TransportError as error:
            self._metrics.count("peer_errors", error.reason)
