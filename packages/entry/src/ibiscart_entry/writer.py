"""
ibiscart_entry.writer
~~~~~~~~~~~~~~~~~~~~~

Collects commands, decides them in batches and appends the decisions, or forwards them.
"""

import logging
import time

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.ledger import Ledger
from ibiscart_core.scheduler import Scheduler
from ibiscart_entry.forward import LIVENESS_CHECK_SECONDS, Forwarder, correct_contract
from ibiscart_entry.journal import AppendConflict, AppendLost
from ibiscart_entry.membership import Upkeep
from ibiscart_entry.pending import BATCH_COMMANDS, PendingCommand, split_batch
from ibiscart_entry.table import StoreError
from ibiscart_schema.generated.peer_pb2 import CommandBatch, Reply, ReplyBatch
from ibiscart_schema.generated.types_pb2 import (
    RAN_NO,
    TARGET_QUARANTINED,
)

__all__ = ["Writer"]

LOG = logging.getLogger("ibiscart.writer")
QUEUE_BOUND = 10_000
TICK_SECONDS = 1.0
# entries that are tried for one command before its caller is asked to retry later
ENTRIES_TRIED = 3
# commands behind an append of unknown outcome go to other entries after this time; it
# leaves room for a second attempt after the store's default timeout of 2 s
BLOCKED_SECONDS = 3.0
# a decision without events is answered only from a position confirmed this recently
FRESH_SECONDS = 2.0


class _DecisionError(Exception):
    """The scheduler failed on a batch; nothing of it was appended."""


class Writer:
    """Turns commands into records, here or at the preferred writer.

    ``policy`` is a ``Policy``, ``settings`` a ``SchedulerSettings`` message; ``membership``
    is where workers appear and leave, or None.
    """

    def __init__(
        self,
        journal,
        peers,
        policy,
        settings,
        metrics,
        *,
        membership=None,
        clock=trio.current_time,
        wall=time.time,
    ):
        self._journal = journal
        self._peers = peers
        self._policy = policy
        self._attempts = settings.attempts
        self._batch_seconds = settings.batch_seconds
        self._metrics = metrics
        self._clock = clock
        self._wall = wall
        self._upkeep = Upkeep(journal, peers, membership, clock)
        self._working = None
        self._pass_due = False
        self._append_start = None
        self._append_started = trio.Event()
        self._open = 0
        self._local = []
        self._arrived = trio.Event()
        self._forwarder = Forwarder(journal, peers, metrics, clock, self._dispatch)
        self._nursery = None
        # called with the commands of each batch that is decided here
        self.on_batch = lambda commands: None
        peers.route("commands", CommandBatch, self._answer_batch)

    @property
    def open_commands(self):
        """Number of commands of this entry's callers that wait for a reply."""
        return self._open

    async def submit(self, command, timeout):
        """Returns the ``Reply`` to a ``Command``; ``timeout`` is in seconds.

        Raises the ``IbiscartError`` that was decided, ``OVERLOADED`` when too many
        commands wait, ``STORE_UNAVAILABLE`` when the command was not and will not be
        appended, and ``COMMIT_UNKNOWN`` when that is not known.
        """
        if self._open >= QUEUE_BOUND:
            raise _overloaded()
        item = PendingCommand(command, self._clock() + timeout)
        self._open += 1
        try:
            self._dispatch(item)
            with trio.move_on_after(timeout):
                await item.event.wait()
        finally:
            item.abandoned = True
            self._open -= 1
        if item.reply is None:
            raise item.failure()
        if item.reply.HasField("error"):
            raise IbiscartError.from_message(item.reply.error)
        return item.reply

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Decides, appends and forwards until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._run_ticks)
            nursery.start_soon(self._reroute_blocked)
            task_status.started()
            while True:
                await self._commit(await self._collect())

    # routing

    def _dispatch(self, item):
        """Gives the command to the most preferred entry that has not been tried."""
        untried = [w for w in self._peers.writers() if w not in item.tried]
        me = self._peers.entry_id
        if me not in item.tried and len(item.tried) == ENTRIES_TRIED - 1 and me in untried:
            untried = [me]
        if not untried or len(item.tried) >= ENTRIES_TRIED or self._nursery is None:
            if item.error is None and not self._journal.ready:
                item.error = _not_ready()
            item.event.set()
        elif untried[0] == me:
            self._enqueue(item)
        else:
            self._forwarder.add(untried[0], item, self._nursery)

    def _enqueue(self, item):
        item.queued = self._clock()
        self._local.append(item)
        self._arrived.set()

    def _refuse(self, items, error):
        for item in items:
            item.in_append = False
            item.error = error
            item.tried.add(self._peers.entry_id)
            if item.from_peer:
                item.event.set()
            elif not item.abandoned:
                self._dispatch(item)

    async def _answer_batch(self, sender, message):
        """Decides a batch that a peer forwarded; never forwards it again."""
        if not self._journal.ready or self._nursery is None:
            raise _not_ready()
        if len(self._local) + len(message.commands) > QUEUE_BOUND:
            raise _overloaded()
        timeout = message.remaining_ms / 1000
        deadline = self._clock() + timeout
        items = [PendingCommand(command, deadline, from_peer=True) for command in message.commands]
        try:
            for item in items:
                self._enqueue(item)
            with trio.move_on_after(timeout):
                for item in items:
                    await item.event.wait()
        finally:
            for item in items:
                item.abandoned = True
        return ReplyBatch(
            replies=[item.reply or Reply(error=item.failure().to_message()) for item in items]
        )

    # deciding

    async def _collect(self):
        """Waits for commands or a due scheduling pass; returns the next batch."""
        while not self._local and not self._pass_due:
            # blocked commands may have been given to other entries since the last event
            self._arrived = trio.Event()
            await self._arrived.wait()
        if self._local:
            wait = self._local[0].queued + self._batch_seconds - self._clock()
            if wait > 0 and len(self._local) < BATCH_COMMANDS:
                await trio.sleep(wait)
        batch, self._local = split_batch([i for i in self._local if not i.abandoned])
        self._pass_due = False
        return batch

    async def _commit(self, items):
        if not self._journal.ready:
            self._refuse(items, _not_ready())
            return
        self._append_start = self._clock()
        self._append_started.set()
        try:
            decided = False
            while not decided:
                items = [item for item in items if not item.abandoned]
                decided = await self._decide(items)
        except StoreError as error:
            # the journal logs an outage once; each refused batch is of interest only in detail
            LOG.debug("writer: A batch was refused.", extra={"cause": error.reason})
            self._refuse(items, None)
        except AppendLost:
            for item in items:
                item.event.set()
        except _DecisionError:
            await self._isolate(items)
        finally:
            self._append_start = None

    async def _decide(self, items):
        """Decides and appends one batch; returns False when it must be decided again."""
        # the working ledger is kept only when all its events are committed
        working, self._working = self._working_ledger(), None
        sequence = working.sequence
        now_us = max(int(self._wall() * 1e6), working.time_us)
        events, replies = self._run_scheduler(working, items, now_us)
        if events:
            for item in items:
                item.in_append = True
            try:
                record = await self._journal.append(events, now_us, after=sequence)
            except AppendConflict:
                for item in items:
                    item.in_append = False
                return False
            working.finish_record(record.sequence, record.time_us)
        elif items and self._journal.confirmed_age() > FRESH_SECONDS:
            await self._journal.confirm()
            if self._journal.sequence != sequence:
                return False
        self._working = working
        for item, reply in zip(items, replies, strict=True):
            if item.forwarded:
                reply = correct_contract(self._journal.ledger, item.command, reply)
            item.settle(reply)
        return True

    def _run_scheduler(self, working, items, now_us):
        scheduler = Scheduler(working, self._policy, self._attempts)
        commands = [item.command for item in items]
        self.on_batch(commands)
        start = time.perf_counter()
        try:
            return scheduler.decide(commands, now_us)
        except Exception as error:
            LOG.exception("writer: A batch could not be decided.")
            raise _DecisionError from error
        finally:
            self._metrics.observe("decision_seconds", "batch", time.perf_counter() - start)

    async def _isolate(self, items):
        """Answers the command that cannot be decided, and decides the others one by one."""
        if len(items) == 1:
            error = IbiscartError(
                ErrorKind.INTERNAL, "the command could not be decided", ran=RAN_NO
            )
            items[0].settle(Reply(error=error.to_message()))
            return
        for item in items:
            await self._commit([item])

    def _working_ledger(self):
        """Returns a copy of the committed state; events that are not committed are not in it."""
        committed = self._journal.ledger
        working = self._working
        if working is not None and working.sequence != committed.sequence:
            records = self._journal.records_after(working.sequence)
            if not records:
                working = None
            for record in records or ():
                working.apply(record)
        if working is None:
            working = Ledger.from_snapshot(committed.snapshot())
        return working

    # passing of time

    async def _run_ticks(self):
        while True:
            await trio.sleep(TICK_SECONDS)
            if not self._journal.ready or self._peers.preferred_writer() != self._peers.entry_id:
                self._upkeep.reset()
                continue
            if len(self._local) < BATCH_COMMANDS:
                for command in self._upkeep.commands():
                    deadline = self._clock() + TICK_SECONDS
                    # without a caller, a refused command is tried again at the next tick
                    self._enqueue(PendingCommand(command, deadline, from_peer=True))
            ledger = self._journal.ledger
            if ledger.queued_jobs or any(
                worker.state == TARGET_QUARANTINED for worker in ledger.workers.values()
            ):
                self._pass_due = True
                self._arrived.set()

    async def _reroute_blocked(self):
        while True:
            # woken by batches only: a timer of its own costs an idle entry processor time
            await self._append_started.wait()
            await trio.sleep(LIVENESS_CHECK_SECONDS)
            start = self._append_start
            if start is None:
                self._append_started = trio.Event()
            elif self._clock() - start > BLOCKED_SECONDS and self._local:
                blocked, self._local = self._local, []
                self._refuse(blocked, None)


def _overloaded():
    return IbiscartError(
        ErrorKind.OVERLOADED,
        "too many commands wait for the journal; retry later",
        field="commands",
        bound=QUEUE_BOUND,
    )


def _not_ready():
    return IbiscartError(ErrorKind.NOT_READY, "this entry has not loaded the region's state")
