"""
ibiscart_core.audits.gang
~~~~~~~~~~~~~~~~~~~~~~~~~

Checks that gangs run only as a whole (P2) and that released tasks fit on their worker.
"""

from ibiscart_core.audits.check import Check
from ibiscart_core.resource import Resources

__all__ = ["GangCheck"]

END_ACTIONS = ("completed", "failed", "stopped", "lapsed")
HELD, RUNNING = "held", "running"


class GangCheck(Check):
    """Checks that gangs run only as a whole (``P2``) and within a worker's ``capacity``.

    ``settle_us`` is the longest time for which a gang may run in part, in microseconds;
    ``skew_us`` is the largest difference between the clocks of the recorded sources.
    """

    def __init__(self, settle_us, skew_us):
        super().__init__()
        self._settle_us = settle_us
        self._skew_us = skew_us
        self._gangs = {}
        self._partial_since = {}
        self._release_events = {}
        self._recorded_release_us = {}
        self._end_events = {}
        self._member_resources = {}
        self._gang_sizes = {}
        self._capacity = {}
        self._running_tasks = {}

    def on_event(self, event):
        """Updates the state of each task."""
        kind = event.WhichOneof("kind")
        if kind == "target_action":
            self._record_task_action(event)
        elif kind == "process_signal" and event.process_signal.signal in ("kill", "exit"):
            self._end_tasks_of_process(event)

    def on_record(self, record, event):
        """Records releases, ends of attempts, shapes and capacities."""
        for item in record.events:
            kind = item.WhichOneof("kind")
            body = getattr(item, kind)
            if kind == "job_released":
                self._recorded_release_us[_attempt_key(body.job, body.attempt)] = record.time_us
            elif kind == "job_requeued":
                # ``job_requeued`` has the number of the next attempt; the one before it has ended
                self._end_events[_attempt_key(body.job, body.attempt - 1)] = event
            elif kind == "job_ended":
                # attempt number 0 stands for the end of the whole job
                self._end_events[(body.job.account, body.job.request_id, 0)] = event
            elif kind == "job_submitted":
                key = (body.spec.account, body.spec.request_id)
                self._member_resources[key] = body.spec.shape.member
                self._gang_sizes[key] = body.spec.shape.members
            elif kind == "worker_registered":
                self._capacity[body.worker.id] = Resources.from_message(body.worker.capacity)

    def finish(self, time_us):
        """Compares tasks with the records and reports gangs that still run in part."""
        for key, events in self._release_events.items():
            decided = self._recorded_release_us.get(key)
            if decided is None:
                self.report(
                    "P2",
                    events[0].time_us,
                    f"{_format_attempt(key)} was released without a record",
                    *events,
                )
            elif events[0].time_us < decided - self._skew_us:
                self.report(
                    "P2",
                    events[0].time_us,
                    f"{_format_attempt(key)} was released before its record",
                    *events,
                )
        for key, members in self._gangs.items():
            self._end_partial_run(key, time_us)
            self._check_tasks_after_end(key, members)

    def _record_task_action(self, event):
        """Updates a task, its gang and its worker's load after a start, a release or an end."""
        action = event.target_action
        if action.action.startswith("request_"):
            return
        key = _attempt_key(action, action.attempt)
        members = self._gangs.setdefault(key, {})
        task = members.setdefault(action.rank, _Task(action.target_id))
        if action.action == "started":
            task.mark_started(HELD, event)
        elif action.action == "released":
            task.mark_started(RUNNING, event)
            self._release_events.setdefault(key, []).append(event)
            self._check_capacity(key, action, event)
        elif action.action in END_ACTIONS:
            task.mark_ended(action.action, event)
            self._running_tasks.get(action.target_id, {}).pop((key, action.rank), None)
        self._gang_sizes[key[:2]] = max(action.members, self._gang_sizes.get(key[:2], 0))
        self._update_partial_run(key, members, event)

    def _end_tasks_of_process(self, event):
        """Marks the open tasks of a target that was killed or exited as stopped."""
        target_id = event.process_signal.process_id
        self._running_tasks.pop(target_id, None)
        for key, members in self._gangs.items():
            open_tasks = [t for t in members.values() if t.target_id == target_id and not t.ended]
            for task in open_tasks:
                task.mark_ended("stopped", event)
            if open_tasks:
                self._update_partial_run(key, members, event)

    def _update_partial_run(self, key, members, event):
        """Updates the time since which a gang runs in part, after ``event``."""
        # workers do not record the number of members; the submission of the job has it
        size = max(self._gang_sizes.get(key[:2], 0), len(members))
        states = [task.state for task in members.values()]
        running = states.count(RUNNING)
        # a gang does not run in part if all members that do not run have completed
        complete = running + states.count("completed") >= size
        if running == 0 or complete:
            self._end_partial_run(key, event.time_us)
        elif key not in self._partial_since:
            self._partial_since[key] = event

    def _end_partial_run(self, key, time_us):
        """Ends the time in which a gang runs in part; reports it if it exceeds ``settle_us``."""
        since = self._partial_since.pop(key, None)
        if since is not None and time_us - since.time_us > self._settle_us:
            events = [task.event for task in self._gangs[key].values()]
            self.report(
                "P2",
                since.time_us,
                f"{_format_attempt(key)} ran in part for {(time_us - since.time_us) / 1e6:.3f} s",
                since,
                *events,
            )

    def _check_tasks_after_end(self, key, members):
        """Reports released members of an attempt that ran after the attempt ended."""
        ended = self._end_events.get(key) or self._end_events.get((*key[:2], 0))
        if ended is None:
            return
        limit = ended.time_us + self._skew_us
        for rank, task in sorted(members.items()):
            # a task that was held but never released is no violation: it does no work and its lease
            # is short
            if not task.was_running or (task.ended and task.event.time_us <= limit):
                continue
            self.report(
                "P2",
                ended.time_us,
                f"{_format_attempt(key)} rank {rank} still ran on {task.target_id} "
                "after the attempt ended",
                ended,
                task.event,
            )

    def _check_capacity(self, key, action, event):
        """Adds a released task to its worker's load; reports a load above the capacity."""
        member = self._member_resources.get(key[:2])
        capacity = self._capacity.get(action.target_id)
        running = self._running_tasks.setdefault(action.target_id, {})
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
    """Last known state of one member of an attempt, with the event that shows it."""

    __slots__ = ("ended", "event", "state", "target_id", "was_running")

    def __init__(self, target_id):
        self.target_id = target_id
        self.state = HELD
        self.ended = False
        self.was_running = False
        self.event = None

    def mark_started(self, state, event):
        """Sets the state to ``HELD`` or ``RUNNING`` by ``event``, also after an earlier end."""
        self.state = state
        self.event = event
        self.ended = False
        self.target_id = event.target_action.target_id
        self.was_running = self.was_running or state == RUNNING

    def mark_ended(self, end_state, event):
        """Marks the task as ended by ``event``; a later end is ignored."""
        if not self.ended:
            self.state = end_state
            self.event = event
            self.ended = True


def _attempt_key(job, number):
    """Returns (account, request id, attempt number); ``job`` has the first two as fields."""
    return (job.account, job.request_id, number)


def _format_attempt(key):
    return f"{key[0]}/{key[1]} attempt {key[2]}"
