"""
ibiscart_core.workflow.spec
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Specification of a job as a caller submits it: steps of equal tasks.
"""

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.resource import MAX_AMOUNT, Resources
from ibiscart_core.value import (
    MAX_TEXT_BYTES,
    InvalidValueError,
    require_bool,
    require_int,
    require_list,
    require_object,
    require_text,
)

__all__ = [
    "MAX_ESTIMATE_MS",
    "MAX_OCCURRENCES",
    "MAX_STEPS",
    "MAX_TASKS",
    "MAX_TIME_MS",
    "JobSpec",
    "StepSpec",
]

# tasks of all steps in all occurrences; limits the job's record, which is written in one
# transaction, and the tasks that are kept in memory
MAX_TASKS = 10_000
MAX_STEPS = 100
# limits the tasks of a scheduled job that are kept in memory
MAX_OCCURRENCES = 1000
# a year, in milliseconds
MAX_ESTIMATE_MS = 31_536_000_000
# end of the year 9999 in Unix milliseconds, the last time that calendars can show
MAX_TIME_MS = 253_402_300_799_999
# longest payload, that of a row in the store
MAX_PAYLOAD_BYTES = 65_536
# the fields of a step that are true or false
FLAGS = ("checkpointing", "copies_allowed", "filler", "gang", "long_running", "same_rack")


class StepSpec:
    """One step: ``tasks`` equal tasks that may start once the steps in ``after`` are done.

    ``after`` has indexes of earlier steps. ``resources`` are those of one task, ``estimate_ms``
    is the caller's estimate of a task's run time in milliseconds, 0 if unknown. The tasks of a
    ``gang`` run all together or not at all. ``required_label`` and ``preferred_rack`` are empty
    if the step has none; ``max_per_worker`` is the largest number of the step's tasks on one
    worker, 0 if unlimited. A ``long_running`` step runs until the job is cancelled. A ``filler``
    step uses idle processors, so its tasks are placed without counting processors.
    ``checkpointing`` tasks save checkpoints from which a later run continues. ``copies_allowed`` is
    the caller's permission to run duplicates of a task.
    """

    __slots__ = (
        "after",
        "checkpointing",
        "copies_allowed",
        "estimate_ms",
        "filler",
        "gang",
        "long_running",
        "max_per_worker",
        "preferred_rack",
        "required_label",
        "resources",
        "same_rack",
        "tasks",
    )

    def __init__(
        self,
        tasks,
        resources,
        *,
        estimate_ms=0,
        after=(),
        checkpointing=False,
        gang=False,
        same_rack=False,
        required_label="",
        preferred_rack="",
        max_per_worker=0,
        copies_allowed=False,
        long_running=False,
        filler=False,
    ):
        self.tasks = tasks
        self.resources = resources
        self.estimate_ms = estimate_ms
        self.after = tuple(after)
        self.checkpointing = checkpointing
        self.gang = gang
        self.same_rack = same_rack
        self.required_label = required_label
        self.preferred_rack = preferred_rack
        self.max_per_worker = max_per_worker
        self.copies_allowed = copies_allowed
        self.long_running = long_running
        self.filler = filler

    @property
    def demand(self):
        """Resources of one task that count against the capacity of its worker."""
        if not self.filler:
            return self.resources
        return Resources(self.resources.accelerators, 0, self.resources.memory_mb)

    @classmethod
    def from_document(cls, document):
        """Builds a step from the mapping that ``to_document`` returns, its values unchecked.

        Raises ``InvalidValueError`` if the mapping has another form.
        """
        fields = dict(require_object(document, "step"))
        amounts = require_list(fields.pop("resources", None), 3, "resources")
        if len(amounts) < 3:
            raise InvalidValueError("resources", amounts, "three amounts")
        require_list(fields.get("after", []), MAX_STEPS, "after")
        try:
            return cls(fields.pop("tasks", None), Resources(*amounts), **fields)
        except TypeError:
            raise InvalidValueError("step", document, "an object of known fields") from None

    def to_document(self):
        """Returns a JSON-serializable mapping without the fields that are empty or zero."""
        resources = self.resources
        document = {
            "tasks": self.tasks,
            "resources": [resources.accelerators, resources.cpu_millis, resources.memory_mb],
        }
        for name in self.__slots__:
            if name not in document and (value := getattr(self, name)):
                document[name] = list(value) if name == "after" else value
        return document

    def validate(self, name, step_index):
        """Checks all fields of the step ``name``; makes integers of floats without a fraction.

        Raises ``InvalidValueError``.
        """
        self.tasks = require_int(self.tasks, 1, MAX_TASKS, f"{name}.tasks")
        self.estimate_ms = require_int(self.estimate_ms, 0, MAX_ESTIMATE_MS, f"{name}.estimate_ms")
        self.max_per_worker = require_int(
            self.max_per_worker, 0, MAX_AMOUNT, f"{name}.max_per_worker"
        )
        amounts = {
            field: require_int(getattr(self.resources, field), 0, MAX_AMOUNT, f"{name}.{field}")
            for field in Resources.__slots__
        }
        self.resources = Resources(**amounts)
        for dependency in self.after:
            if not step_index:
                raise InvalidValueError(f"{name}.after", dependency, "empty in the first step")
            require_int(dependency, 0, step_index - 1, f"{name}.after")
        self.after = tuple(map(int, self.after))
        for field in ("required_label", "preferred_rack"):
            require_text(getattr(self, field), MAX_TEXT_BYTES, f"{name}.{field}")
        for field in FLAGS:
            require_bool(getattr(self, field), f"{name}.{field}")


class JobSpec:
    """Specification of a job; ``payload`` is passed to each task unchanged.

    With ``occurrences`` above 0 the job is scheduled: its steps run that many times, the first
    time at ``first_due_ms`` (Unix milliseconds) and then every ``interval_ms`` milliseconds.
    """

    __slots__ = ("first_due_ms", "interval_ms", "occurrences", "payload", "steps")

    def __init__(self, payload, steps, *, first_due_ms=0, interval_ms=0, occurrences=0):
        self.payload = payload
        self.steps = tuple(steps)
        self.first_due_ms = first_due_ms
        self.interval_ms = interval_ms
        self.occurrences = occurrences

    @property
    def scheduled(self):
        """True if the job runs on a schedule."""
        return self.occurrences > 0

    @property
    def occurrence_count(self):
        """Number of times that the steps run, 1 without a schedule."""
        return max(1, self.occurrences)

    @classmethod
    def from_document(cls, document):
        """Builds a job from the mapping that ``to_document`` returns.

        Raises ``InvalidValueError`` if it is no valid job.
        """
        fields = dict(require_object(document, "spec"))
        steps = require_list(fields.pop("steps", None), MAX_STEPS, "steps")
        steps = [StepSpec.from_document(step) for step in steps]
        try:
            spec = cls(fields.pop("payload", None), steps, **fields)
        except TypeError:
            raise InvalidValueError("spec", document, "an object of known fields") from None
        spec.validate()
        return spec

    def to_document(self):
        """Returns a JSON-serializable mapping."""
        document = {"payload": self.payload, "steps": [step.to_document() for step in self.steps]}
        if self.scheduled:
            document["first_due_ms"] = self.first_due_ms
            document["interval_ms"] = self.interval_ms
            document["occurrences"] = self.occurrences
        return document

    def due_ms(self, occurrence):
        """Returns the Unix milliseconds at which an occurrence is due, 0 without a schedule.

        ``occurrence`` is the index of the occurrence, from 0.
        """
        if not self.scheduled:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    def critical_path_ms(self, step_lengths_ms=None):
        """Returns the run time of the critical path of the steps in milliseconds.

        ``step_lengths_ms`` has the run time of a task of each step, by default its estimate.
        """
        if step_lengths_ms is None:
            step_lengths_ms = [step.estimate_ms for step in self.steps]
        ends_ms = []
        for step, length_ms in zip(self.steps, step_lengths_ms, strict=True):
            begin_ms = max((ends_ms[dependency] for dependency in step.after), default=0)
            ends_ms.append(begin_ms + length_ms)
        return max(ends_ms, default=0)

    def check(self):
        """Raises ``IbiscartError`` for the first invalid field, as ``validate`` does."""
        try:
            self.validate()
        except InvalidValueError as error:
            raise IbiscartError(
                ErrorKind.BAD_FIELD,
                f"{error}; correct it",
                field=error.field,
                value=error.value,
                bound=error.bound,
            ) from None

    def validate(self):
        """Checks all fields; makes integers of floats without a fraction.

        Raises ``InvalidValueError`` with the name of the first invalid field.
        """
        require_text(self.payload, MAX_PAYLOAD_BYTES, "payload")
        self.occurrences = require_int(self.occurrences, 0, MAX_OCCURRENCES, "occurrences")
        self.first_due_ms = require_int(self.first_due_ms, 0, MAX_TIME_MS, "first_due_ms")
        # so that the last occurrence is due before the end of time
        max_interval_ms = (MAX_TIME_MS - self.first_due_ms) // self.occurrence_count
        self.interval_ms = require_int(self.interval_ms, 0, max_interval_ms, "interval_ms")
        if not 1 <= len(self.steps) <= MAX_STEPS:
            raise InvalidValueError("steps", list(self.steps), f"a list of 1 to {MAX_STEPS} steps")
        for step_index, step in enumerate(self.steps):
            step.validate(f"steps[{step_index}]", step_index)
        tasks = sum(step.tasks for step in self.steps) * self.occurrence_count
        if tasks > MAX_TASKS:
            bound = f"up to {MAX_TASKS} tasks of all steps in all occurrences"
            raise InvalidValueError("steps", tasks, bound, shown=f"{tasks} tasks")
