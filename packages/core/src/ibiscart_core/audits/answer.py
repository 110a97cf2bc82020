"""
ibiscart_core.audits.answer
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks the answers that callers received (P3, P4, P7).
"""

from ibiscart_core.audits.check import Check
from ibiscart_schema.generated.types_pb2 import RAN_NO

__all__ = ["AnswerCheck"]

# longest time for which callers wait; a request without an answer after this time counts as lost
ANSWER_TIMEOUT_US = 60 * 1_000_000
RAN_ACTIONS = ("released", "request_started")


class AnswerCheck(Check):
    """Checks that callers get correct answers (P3, P4) and that drains interrupt nothing (P7).

    P3: each request gets one complete answer of its own. P4: work that was refused as not
    run did not run. P7: a drain interrupts no request.
    """

    def __init__(self):
        super().__init__()
        self._calls = {}
        self._actions = {}
        self._jobs_not_run = {}
        self._drain_events = {}
        self._exit_events = {}

    def on_event(self, event):
        """Matches answers to requests and records what ran."""
        kind = event.WhichOneof("kind")
        if kind == "caller_request":
            self._calls.setdefault(_request_key(event.caller_request), []).append(_Call(event))
        elif kind == "caller_answer":
            self._apply_answer(event)
        elif kind == "target_action" and event.target_action.action in RAN_ACTIONS:
            self._actions.setdefault(_request_key(event.target_action), []).append(event)
        elif kind == "process_signal":
            self._apply_signal(event)

    def on_record(self, record, event):
        """Records jobs whose final outcome states that they did not run."""
        for item in record.events:
            if item.WhichOneof("kind") == "job_ended" and item.job_ended.ran == RAN_NO:
                self._jobs_not_run[_request_key(item.job_ended.job)] = event

    def finish(self, time_us):
        """Compares refusals with what ran and reports requests without an answer."""
        for key, actions in self._actions.items():
            calls = self._calls.get(key, [])
            for action in actions:
                started = [call for call in calls if call.time_us <= action.time_us]
                refusals = [call.answer for call in started if call.refused]
                if refusals and not any(call.explains(action) for call in started):
                    self.report(
                        "P4",
                        action.time_us,
                        f"{_format_key(key)} was refused as not run, but ran",
                        *refusals[-1:],
                        action,
                    )
            ended = self._jobs_not_run.get(key)
            if ended is not None:
                self.report(
                    "P4",
                    ended.time_us,
                    f"{_format_key(key)} ended as not run, but ran",
                    ended,
                    *actions,
                )
        for key, calls in self._calls.items():
            for call in calls:
                if call.answer is None and call.time_us + ANSWER_TIMEOUT_US < time_us:
                    self.report(
                        "P3",
                        call.time_us,
                        f"{_format_key(key)} received no answer",
                        call.request,
                    )

    def _apply_answer(self, event):
        """Matches an answer to its call; reports a wrong, incomplete or interrupted one."""
        answer = event.caller_answer
        key = _request_key(answer)
        call = self._find_call(key, answer)
        if call is not None:
            call.answer = event
        if answer.broken:
            self._check_drain(key, call, event)
            return
        if answer.body_request_id and answer.body_request_id != answer.request_id:
            self.report(
                "P3",
                event.time_us,
                f"{_format_key(key)} received the answer of {answer.body_request_id}",
                *([call.request] if call else []),
                event,
            )
        elif answer.status < 300 and not (answer.complete and answer.body_request_id):
            self.report(
                "P3",
                event.time_us,
                f"{_format_key(key)} received an incomplete answer or one without a request id",
                *([call.request] if call else []),
                event,
            )

    def _find_call(self, key, answer):
        """Returns the oldest call without an answer, of the answer's entry if possible, or None."""
        # several calls with one request id may be open at different entries
        unanswered = [call for call in self._calls.get(key, []) if call.answer is None]
        same_entry = [c for c in unanswered if c.request.caller_request.entry_id == answer.entry_id]
        return (same_entry or unanswered or [None])[0]

    def _apply_signal(self, event):
        """Records the last drain and the last exit of each process; a drain clears an exit."""
        signal = event.process_signal
        if signal.signal == "drain":
            self._drain_events[signal.process_id] = event
            self._exit_events.pop(signal.process_id, None)
        elif signal.signal in ("kill", "exit"):
            self._exit_events[signal.process_id] = event

    def _check_drain(self, key, call, event):
        """Reports a broken answer if the drain of its entry interrupted the request."""
        answer = event.caller_answer
        drain = self._drain_events.get(answer.entry_id)
        exit_event = self._exit_events.get(answer.entry_id)
        if exit_event is not None and exit_event.process_signal.signal == "kill":
            return
        if not answer.during_drain:
            if drain is None or call is None:
                return
            if exit_event is not None and call.time_us > exit_event.time_us:
                return
            # refusing a new request during a drain interrupts nothing
            if call.time_us > drain.time_us and answer.ran == RAN_NO:
                return
        self.report(
            "P7",
            event.time_us,
            f"{_format_key(key)} was interrupted by the drain of {answer.entry_id}",
            *([drain] if drain else []),
            *([call.request] if call else []),
            event,
        )


class _Call:
    """A request of a caller and, once it is received, its answer."""

    __slots__ = ("answer", "request", "time_us")

    def __init__(self, request):
        self.request = request
        self.time_us = request.time_us
        self.answer = None

    @property
    def refused(self):
        """Returns True if the answer states that the work did not run."""
        if self.answer is None:
            return False
        answer = self.answer.caller_answer
        return not answer.broken and answer.status >= 400 and answer.ran == RAN_NO

    def explains(self, action):
        """Returns True if this call may have caused the action."""
        if self.refused:
            return False
        if self.answer is None or self.request.caller_request.job:
            return True
        answer = self.answer.caller_answer
        # without a final answer the request may still be in progress
        final = not answer.broken and answer.status < 400
        return not final or action.time_us <= self.answer.time_us


def _request_key(message):
    """Returns (account, request id) of any message that has these fields."""
    return (message.account, message.request_id)


def _format_key(key):
    """Returns the (account, request id) as text for the messages of violations."""
    return f"{key[0]}/{key[1]}"
