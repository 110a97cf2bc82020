"""
ibiscart_entry.coordination.announcer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Notifies the leader of accepted and cancelled jobs before the change feed of the store does.
"""

import json
import logging

import trio

from ibiscart_core.value import InvalidValueError, parse_json, require_list, require_object
from ibiscart_entry.client import TransportError
from ibiscart_entry.coordination.record import require_job_id
from ibiscart_entry.request_error import bad_field
from ibiscart_entry.server import Response, error_response

__all__ = ["ANNOUNCE_PATH", "Announcer"]

LOG = logging.getLogger("ibiscart.announcer")
ANNOUNCE_PATH = "/v1/announce"
# most job ids that wait to be sent; further ones are dropped, and the leader reads their jobs
# later, from the changes of the jobs table
MAX_QUEUED_IDS = 500
# timeout of one announcement; a reachable leader responds within about 20 ms, and it reads the
# jobs of a lost announcement later, from the changes of the jobs table
CALL_TIMEOUT_SECONDS = 0.5
# most job ids that one call announces; they take about 2 KB of its body
MAX_IDS_PER_CALL = 100


class Announcer:
    """Sends job ids to the leader; a lost message only delays its jobs.

    ``connect`` returns the HTTP client for the address of an entry.
    """

    def __init__(self, leadership, leader, connect, metrics):
        self._leadership = leadership
        self._leader = leader
        self._connect = connect
        self._metrics = metrics
        self._send, self._receive = trio.open_memory_channel(MAX_QUEUED_IDS)

    def announce(self, job_id):
        """Passes a job id to this entry's coordinator if it leads, else queues it for the leader.

        The id is dropped when the queue is full.
        """
        if self._leader.coordinator is not None:
            self._leader.coordinator.announce([job_id])
            return
        try:
            self._send.send_nowait(job_id)
        except trio.WouldBlock:
            self._metrics.count("dropped", "announcement")

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Sends queued job ids to the leader until cancelled; drops them if none is known."""
        task_status.started()
        while True:
            job_ids = [await self._receive.receive()]
            while len(job_ids) < MAX_IDS_PER_CALL:
                try:
                    job_ids.append(self._receive.receive_nowait())
                except trio.WouldBlock:
                    break
            address = self._leadership.leader_address
            if address:
                await self._call(address, job_ids)

    async def handle(self, request):
        """Passes the announcement of another entry to the coordinator, if this entry leads."""
        try:
            job_ids = _parse_job_ids(request.body)
        except InvalidValueError as error:
            return error_response(bad_field(error))
        if self._leader.coordinator is not None:
            self._leader.coordinator.announce(job_ids)
        return Response.from_json(200, {})

    async def _call(self, address, job_ids):
        """Announces jobs to the entry at ``address``; a failed call is counted, not repeated."""
        client = self._connect(address)
        body = json.dumps({"jobs": job_ids}).encode()
        self._metrics.count("peer_messages", "announce")
        try:
            await client.request("POST", ANNOUNCE_PATH, body=body, timeout=CALL_TIMEOUT_SECONDS)
        except TransportError as error:
            self._metrics.count("peer_errors", error.reason)


def _parse_job_ids(body):
    """Returns the ids of an announcement; raises ``InvalidValueError``."""
    document = require_object(parse_json(body, name="body"), "body")
    job_ids = require_list(document.get("jobs"), MAX_IDS_PER_CALL, "jobs")
    return [require_job_id(job_id) for job_id in job_ids]
