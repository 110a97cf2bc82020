"""
ibiscart_entry.lane
~~~~~~~~~~~~~~~~~~~

Matches waiting requests with free runner slots, within this entry's shares.
"""

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.lane import Lane, LaneQueue
from ibiscart_entry.client import HttpClient
from ibiscart_entry.quota import account_key, runner_key, runner_keys

__all__ = ["SlotPool", "Ticket"]

# a runner that answered "full" gets nothing for this time
FULL_SECONDS = 0.1
# a runner that cannot be connected to costs each request a connect timeout
UNREACHABLE_SECONDS = 5.0
TICK_SECONDS = 0.25


class Ticket:
    """A request that waits for a slot."""

    __slots__ = ("account", "enqueued_at", "granted", "kind", "slot")

    def __init__(self, account, kind, enqueued_at):
        self.account = account
        self.kind = kind
        self.enqueued_at = enqueued_at
        self.granted = trio.Event()
        self.slot = None


class Slot:
    """A runner slot, held from the grant to ``SlotPool.release``."""

    __slots__ = ("client", "keys", "kind_key", "lane", "runner_id", "started_at")

    def __init__(self, runner_id, client, lane, keys, kind_key, started_at):
        self.runner_id = runner_id
        self.client = client
        self.lane = lane
        self.keys = keys
        self.kind_key = kind_key
        self.started_at = started_at


class SlotPool:
    """Queue of this entry and the runner slots that it may use.

    ``runners`` returns the runner machines, ``eligible`` tells whether one may get new work.
    ``need`` is called with the share keys that keep a request waiting.
    """

    def __init__(
        self,
        data_centre,
        settings,
        shares,
        estimates,
        runners,
        eligible,
        weight,
        metrics,
        need,
        connect=HttpClient,
    ):
        self._data_centre = data_centre
        self._shares = shares
        self._estimates = estimates
        self._runners = runners
        self._eligible = eligible
        self._metrics = metrics
        self._need = need
        self._connect = connect
        self._long_seconds = settings.long_request_seconds
        self._queue = LaneQueue(trio.current_time, weight, self.expected, self._long_seconds)
        self._clients = {}
        self._closing = []
        self._dropped = trio.Event()
        self._avoided_until = {}
        # slots in use by (account, kind), the oldest first
        self._slots = {}

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def running(self):
        """Number of slots in use."""
        return sum(map(len, self._slots.values()))

    def expected(self, account, kind):
        """Returns the expected service time in seconds.

        A kind with a request that has already run long counts as long, although it has not
        ended and could not be learned from.
        """
        learned = self._estimates.estimate(account, kind, 0.0).median
        oldest = next(iter(self._slots.get((account, kind), ())), None)
        if oldest is None:
            return learned
        return max(learned, trio.current_time() - oldest.started_at)

    def any_runner(self):
        """Whether any runner may get new work."""
        return any(self._eligible(machine.id) for machine in self._runners())

    async def acquire(self, ticket, deadline):
        """Waits for a slot; raises ``queue_timeout`` or ``no_target``."""
        if not self.any_runner():
            raise IbiscartError(ErrorKind.NO_TARGET, "no runner accepts work; retry later")
        ticket.granted = trio.Event()
        ticket.slot = None
        start = trio.current_time()
        self._queue.push(ticket)
        try:
            self.pump()
            with trio.move_on_at(deadline):
                await ticket.granted.wait()
        except trio.Cancelled:
            if not self._queue.remove(ticket) and ticket.slot is not None:
                self.release(ticket.slot)
            raise
        if ticket.slot is None:
            self._queue.remove(ticket)
            raise IbiscartError(
                ErrorKind.QUEUE_TIMEOUT, "no runner slot became free in time; retry later"
            )
        self._metrics.observe("queue_seconds", ticket.slot.lane.value, trio.current_time() - start)
        return ticket.slot

    def release(self, slot):
        """Gives a slot back."""
        del self._slots[slot.kind_key][slot]
        if not self._slots[slot.kind_key]:
            del self._slots[slot.kind_key]
        for key in slot.keys:
            self._shares.release(key)
        self.pump()

    def learn(self, account, kind, seconds):
        """Adds an observed service time."""
        self._estimates.observe(account, kind, seconds)

    def avoid(self, runner_id, seconds=FULL_SECONDS):
        """Gives a runner that is full or cannot be reached nothing for some time."""
        until = trio.current_time() + seconds
        self._avoided_until[runner_id] = max(until, self._avoided_until.get(runner_id, 0.0))

    def drop_connections(self, runner_id):
        """Closes the connections to a runner whose answers cannot be trusted."""
        client = self._clients.pop(runner_id, None)
        if client is not None:
            self._closing.append(client[0])
            self._dropped.set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Closes connections and looks for slots that became free elsewhere."""
        task_status.started()
        while True:
            with trio.move_on_after(TICK_SECONDS):
                await self._dropped.wait()
            self._dropped = trio.Event()
            await self.trim()
            self.pump()

    async def trim(self):
        """Closes idle connections beyond a share that became smaller."""
        for runner_id, (_, limit) in list(self._clients.items()):
            if self._shares.limit(runner_key("connections", runner_id)) < limit:
                self.drop_connections(runner_id)
        while self._closing:
            await self._closing.pop().aclose()

    def apply_share_change(self):
        """Adapts to shares that have changed."""
        self._dropped.set()
        self.pump()

    def pump(self):
        """Starts every waiting request for which there is a slot."""
        while len(self._queue):
            places = {lane: self._best_runner(lane) for lane in Lane}
            lanes = [lane for lane, runner in places.items() if runner is not None]
            picked = self._queue.pick(lanes, self._may_run) if lanes else None
            if picked is None:
                self._tell_need(lanes)
                return
            ticket, lane = picked
            self._grant(ticket, lane, places[lane])

    def _may_run(self, account):
        return self._shares.free(account_key("running", account)) > 0

    def _best_runner(self, lane):
        """Runner with most free slots, in this entry's data centre first."""
        best = None
        now = trio.current_time()
        for machine in self._runners():
            if not self._eligible(machine.id) or self._avoided_until.get(machine.id, 0) > now:
                continue
            free = min(self._shares.free(key) for key in runner_keys(machine.id, lane))
            if free <= 0:
                continue
            rank = (machine.data_centre == self._data_centre, free, machine.id)
            if best is None or rank > best[0]:
                best = (rank, machine)
        return best[1] if best is not None else None

    def _grant(self, ticket, lane, machine):
        keys = [account_key("running", ticket.account), *runner_keys(machine.id, lane)]
        for key in keys:
            self._shares.acquire(key)
        client = self._client(machine)
        kind_key = (ticket.account, ticket.kind)
        ticket.slot = Slot(machine.id, client, lane, keys, kind_key, trio.current_time())
        self._slots.setdefault(kind_key, {})[ticket.slot] = True
        ticket.granted.set()

    def _client(self, machine):
        limit = self._shares.limit(runner_key("connections", machine.id))
        known = self._clients.get(machine.id)
        if known is not None:
            client, known_limit = known
            if known_limit == limit and client.address == machine.address:
                return client
            # idle connections beyond a smaller share must close too
            self.drop_connections(machine.id)
        client = self._connect(machine.address, max_connections=max(1, limit))
        self._clients[machine.id] = (client, limit)
        return client

    def _tell_need(self, lanes):
        """Names the shares of which one more would let a request start."""
        accounts = {account for account, _ in self._queue.waiting_kinds()}
        short = [account_key("running", a) for a in sorted(accounts) if not self._may_run(a)]
        if short and lanes:
            self._need(short)
        wanted = {self._queue.lane(account, kind) for account, kind in self._queue.waiting_kinds()}
        missing = [lane for lane in wanted if lane not in lanes]
        if missing:
            self._need(self._missing_keys(missing))

    def _missing_keys(self, lanes):
        keys = {}
        machines = [m for m in self._runners() if self._eligible(m.id)]
        machines.sort(key=lambda m: m.data_centre != self._data_centre)
        for machine in machines:
            for lane in lanes:
                for key in runner_keys(machine.id, lane):
                    if self._shares.free(key) <= 0:
                        keys[key] = True
        return list(keys)
