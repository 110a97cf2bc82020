"""
ibiscart_core.audits.gang
~~~~~~~~~~~~~~~~~~~~~~~~~

Checks that gangs run as a whole (P2) and that released tasks fit their worker.
"""

from ibiscart_core.audits.check import Check
from ibiscart_core.resource import Resources

__all__ = ["GangCheck"]

ENDS = ("completed", "failed", "stopped", "lapsed")
HELD, RUNNING = "held", "running"


class GangCheck(Check):
    """P2, and the limit ``capacity``: released tasks of a worker within its resources.

    ``settle_us`` bounds how long a gang may run in part, in microseconds;
    ``skew_us`` is the largest difference between clocks of the recorded sources.
    """

    def __init__(self, settle_us, skew_us):
        super().__init__()
        self._settle_us = settle_us
        self._skew_us = skew_us
        self._gangs = {}
        self._partial = {}
        self._releases = {}
        self._decided = {}
        self._ended = {}
        self._shapes = {}
        self._sizes = {}
        self._capacity = {}
        self._running = {}

    def on_event(self, event):
        """Follows the state of each task."""
        kind = event.WhichOneof("kind")
        if kind == "target_action":
            self._follow(event)
        elif kind == "process_signal" and event.process_signal.signal in ("kill", "exit"):
            self._end_target(event)

    def on_record(self, record, event):
        """Notes releases, ends of attempts, shapes and capacities."""
        for item in record.events:
            kind = item.WhichOneof("kind")
            body = getattr(item, kind)
            if kind == "job_released":
                self._decided[_attempt(body.job, body.attempt)] = record.time_us
            elif kind == "job_requeued":
                # names the next attempt
                self._ended[_attempt(body.job, body.attempt - 1)] = event
            elif kind == "job_ended":
                self._ended[(body.job.account, body.job.request_id, 0)] = event
            elif kind == "job_submitted":
                key = (body.spec.account, body.spec.request_id)
                self._shapes[key] = body.spec.shape.member
                self._sizes[key] = body.spec.shape.members
            elif kind == "worker_registered":
                self._capacity[body.worker.id] = Resources.from_message(body.worker.capacity)

    def finish(self, time_us):
        """Compares tasks with the records and closes gangs that still run in part."""
        for key, events in self._releases.items():
            decided = self._decided.get(key)
            if decided is None:
                self.report(
                    "P2", events[0].time_us, f"{_name(key)} released without a record", *events
                )
            elif events[0].time_us < decided - self._skew_us:
                self.report(
                    "P2", events[0].time_us, f"{_name(key)} released before its record", *events
                )
        for key, members in self._gangs.items():
            self._close_partial(key, time_us)
            self._check_after_end(key, members)

    def _follow(self, event):
        action = event.target_action
        if action.action.startswith("request_"):
            return
        key = _attempt(action, action.attempt)
        members = self._gangs.setdefault(key, {})
        task = members.setdefault(action.rank, _Task(action.target_id))
        if action.action == "started":
            task.start(HELD, event)
        elif action.action == "released":
            task.start(RUNNING, event)
            self._releases.setdefault(key, []).append(event)
            self._occupy(key, action, event)
        elif action.action in ENDS:
            task.end(action.action, event)
            self._running.get(action.target_id, {}).pop((key, action.rank), None)
        self._sizes[key[:2]] = max(action.members, self._sizes.get(key[:2], 0))
        self._update_partial(key, members, event)

    def _end_target(self, event):
        target_id = event.process_signal.process_id
        self._running.pop(target_id, None)
        for key, members in self._gangs.items():
            hit = [t for t in members.values() if t.target_id == target_id and not t.ended]
            for task in hit:
                task.end("stopped", event)
            if hit:
                self._update_partial(key, members, event)

    def _update_partial(self, key, members, event):
        # a worker does not know how large the gang is; the submission does
        size = max(self._sizes.get(key[:2], 0), len(members))
        states = [task.state for task in members.values()]
        running = states.count(RUNNING)
        # members that completed are done; they don't make the gang partial
        whole = running + states.count("completed") >= size
        if running == 0 or whole:
            self._close_partial(key, event.time_us)
        elif key not in self._partial:
            self._partial[key] = event

    def _close_partial(self, key, time_us):
        since = self._partial.pop(key, None)
        if since is not None and time_us - since.time_us > self._settle_us:
            events = [task.event for task in self._gangs[key].values()]
            self.report(
                "P2",
                since.time_us,
                f"{_name(key)} ran in part for {(time_us - since.time_us) / 1e6:.3f} s",
                since,
                *events,
            )

    def _check_after_end(self, key, members):
        ended = self._ended.get(key) or self._ended.get((*key[:2], 0))
        if ended is None:
            return
        limit = ended.time_us + self._skew_us
        for rank, task in sorted(members.items()):
            # a held task does no work and its lease is short; only released ones count
            if not task.was_running or (task.ended and task.event.time_us <= limit):
                continue
            self.report(
                "P2",
                ended.time_us,
                f"{_name(key)} rank {rank} still ran on {task.target_id} after the attempt ended",
                ended,
                task.event,
            )

    def _occupy(self, key, action, event):
        member = self._shapes.get(key[:2])
        capacity = self._capacity.get(action.target_id)
        running = self._running.setdefault(action.target_id, {})
        if member is None or capacity is None:
            return
        running[(key, action.rank)] = (Resources.from_message(member), event)
        free = capacity
        for amount, _ in running.values():
            free = free - amount
        if min(free.accelerators, free.cpu_millis, free.memory_mb) < 0:
            self.report(
                "capacity",
                event.time_us,
                f"released tasks exceed {action.target_id} by {free!r}",
                event,
                *(started for _, started in running.values()),
            )


class _Task:
    __slots__ = ("ended", "event", "state", "target_id", "was_running")

    def __init__(self, target_id):
        self.target_id = target_id
        self.state = HELD
        self.ended = False
        self.was_running = False
        self.event = None

    def start(self, state, event):
        self.state = state
        self.event = event
        self.ended = False
        self.target_id = event.target_action.target_id
        self.was_running = self.was_running or state == RUNNING

    def end(self, state, event):
        if not self.ended:
            self.state = state
            self.event = event
            self.ended = True


def _attempt(job, number):
    return (job.account, job.request_id, number)


def _name(key):
    return f"{key[0]}/{key[1]} attempt {key[2]}"
