"""
ibiscart_entry.report
~~~~~~~~~~~~~~~~~~~~~

Reports about members and workers to the writer, sent again until the journal shows them.
"""

import logging

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_schema.generated.journal_pb2 import MemberEnded
from ibiscart_schema.generated.peer_pb2 import Command

__all__ = ["Reports"]

LOG = logging.getLogger("ibiscart.controller")
REPORTS_AT_ONCE = 64
SUBMIT_SECONDS = 3.0
FIRST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 2.0
# the writer applied a report, but this entry has not seen the record yet
APPLY_SECONDS = 5.0


class Reports:
    """Reports waiting for the journal, one for each member and each worker.

    The bound is that of the places in the ledger: a report that the ledger no longer needs
    is dropped.
    """

    def __init__(self, journal, writer, metrics, random):
        self._journal = journal
        self._writer = writer
        self._metrics = metrics
        self._random = random
        self._pending = {}
        self._sent = {}
        self._on_end = None
        self._added = trio.Event()

    @property
    def pending(self):
        """Number of reports that the writer has not accepted yet."""
        return len(self._pending)

    def watch_ends(self, on_end):
        """Calls ``on_end(key, attempt, rank, outcome)`` with each end that is reported."""
        self._on_end = on_end

    def add_member(self, key, attempt, rank, outcome, saved_seconds=0.0):
        """Reports the end of a member, once until the journal can have shown it."""
        ended = MemberEnded(
            job=key.to_message(),
            attempt=attempt,
            rank=rank,
            outcome=outcome,
            saved_seconds=saved_seconds,
        )
        self._add((key, attempt, rank), Command(report_member={"ended": ended}))
        if self._on_end is not None:
            self._on_end(key, attempt, rank, outcome)

    def add_worker(self, worker_id, state, cause):
        """Reports the state of a worker."""
        command = Command(report_worker={"worker_id": worker_id, "state": state, "cause": cause})
        self._add(worker_id, command)

    async def submit(self, command):
        """Submits until the writer accepts or rejects; cancelled by the caller."""
        seconds = FIRST_RETRY_SECONDS
        while True:
            if await self._submit(command):
                return
            await trio.sleep(seconds * self._random.uniform(0.5, 1))
            seconds = min(seconds * 2, LONGEST_RETRY_SECONDS)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Sends what is added, until cancelled."""
        task_status.started()
        seconds = FIRST_RETRY_SECONDS
        while True:
            while not self._pending:
                self._added = trio.Event()
                await self._added.wait()
            if await self._send_some():
                seconds = FIRST_RETRY_SECONDS
                continue
            await trio.sleep(seconds * self._random.uniform(0.5, 1))
            seconds = min(seconds * 2, LONGEST_RETRY_SECONDS)

    def _add(self, name, command):
        now = trio.current_time()
        known = self._pending.get(name) or self._sent.get(name)
        if known is not None and known[0] == command and now < known[1]:
            return
        self._sent.pop(name, None)
        self._pending[name] = (command, float("inf"))
        self._added.set()

    async def _send_some(self):
        """Sends one group; returns whether any was accepted."""
        done = []
        async with trio.open_nursery() as nursery:
            for name in list(self._pending)[:REPORTS_AT_ONCE]:
                nursery.start_soon(self._send, name, done)
        now = trio.current_time()
        for name in [n for n, (_, until) in self._sent.items() if until < now]:
            del self._sent[name]
        return bool(done)

    async def _send(self, name, done):
        command, until = self._pending.pop(name)
        # a report that fails goes to the end, so that it does not hold up the others
        self._pending[name] = (command, until)
        if not self._needed(command) or await self._submit(command):
            done.append(name)
            if self._pending.get(name, (None,))[0] is command:
                del self._pending[name]
                self._sent[name] = (command, trio.current_time() + APPLY_SECONDS)

    def _needed(self, command):
        if command.WhichOneof("kind") != "report_member":
            return True
        ended = command.report_member.ended
        job = self._journal.ledger.job(ended.job)
        if job is None or job.attempt != ended.attempt or ended.rank >= len(job.members):
            return False
        return not job.members[ended.rank].ended

    async def _submit(self, command):
        kind = command.WhichOneof("kind")
        try:
            await self._writer.submit(command, SUBMIT_SECONDS)
        except IbiscartError as error:
            if error.kind is ErrorKind.NOT_FOUND:
                LOG.info("controller: A report names an unknown object.", extra={"report": kind})
                return True
            self._metrics.count("retries", f"{kind}_{error.kind.value}")
            return False
        return True
