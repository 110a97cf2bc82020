"""
ibiscart_core.workflow.spec
~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a caller submits: a job of steps, each of many equal tasks.
"""

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.resource import Resources

__all__ = ["JobSpec", "StepSpec"]

# bounds a row of the store: a step of 1,000 tasks takes about 50 KiB while it runs
MAX_TASKS_PER_STEP = 1000
MAX_STEPS = 100


class StepSpec:
    """One step: ``tasks`` equal tasks that may start when the steps ``after`` are done.

    ``resources`` are those of one task, ``estimate_ms`` is the caller's rough run time of a
    task. A ``gang`` runs whole or not at all. ``required_label`` and ``preferred_rack`` are
    empty when the step has none; ``max_per_worker`` is 0 without a bound. A ``long_running``
    step runs until the job is cancelled; a ``filler`` step uses processors left idle.
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
        """Resources that one task takes from its worker's capacity."""
        if not self.filler:
            return self.resources
        return Resources(self.resources.accelerators, 0, self.resources.memory_mb)

    @classmethod
    def from_document(cls, document):
        """Builds the step from ``to_document``'s mapping."""
        fields = dict(document)
        accelerators, cpu_millis, memory_mb = fields.pop("resources")
        return cls(fields.pop("tasks"), Resources(accelerators, cpu_millis, memory_mb), **fields)

    def to_document(self):
        """Returns a mapping that JSON can hold; fields without a value are left out."""
        resources = self.resources
        document = {
            "tasks": self.tasks,
            "resources": [resources.accelerators, resources.cpu_millis, resources.memory_mb],
        }
        for name in self.__slots__:
            if name not in document and (value := getattr(self, name)):
                document[name] = list(value) if name == "after" else value
        return document


class JobSpec:
    """A job: ``payload`` is passed to each task unread.

    With ``occurrences`` above 0 the steps run that many times, the first due at
    ``first_due_ms`` (Unix milliseconds), the others ``interval_ms`` after one another.
    """

    __slots__ = ("first_due_ms", "interval_ms", "occurrences", "payload", "steps")

    def __init__(self, payload, steps, *, first_due_ms=0, interval_ms=0, occurrences=0):
        self.payload = payload
        self.steps = tuple(steps)
        self.first_due_ms = first_due_ms
        self.interval_ms = interval_ms
        self.occurrences = occurrences

    @property
    def timed(self):
        """Whether the job runs on a schedule."""
        return self.occurrences > 0

    @property
    def runs(self):
        """Number of times that the steps run."""
        return max(1, self.occurrences)

    @classmethod
    def from_document(cls, document):
        """Builds the job from ``to_document``'s mapping."""
        fields = dict(document)
        steps = [StepSpec.from_document(step) for step in fields.pop("steps")]
        return cls(fields.pop("payload"), steps, **fields)

    def to_document(self):
        """Returns a mapping that JSON can hold."""
        document = {"payload": self.payload, "steps": [step.to_document() for step in self.steps]}
        if self.timed:
            document["first_due_ms"] = self.first_due_ms
            document["interval_ms"] = self.interval_ms
            document["occurrences"] = self.occurrences
        return document

    def due_ms(self, occurrence):
        """Unix milliseconds at which an occurrence is due; 0 for a job without a schedule."""
        if not self.timed:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    def critical_path_ms(self):
        """Estimated run time of the longest chain of steps, in milliseconds."""
        ends = []
        for step in self.steps:
            begin = max((ends[number] for number in step.after), default=0)
            ends.append(begin + step.estimate_ms)
        return max(ends, default=0)

    def check(self):
        """Raises ``IbiscartError`` naming the first field that cannot be used."""
        if not 1 <= len(self.steps) <= MAX_STEPS:
            raise _bad("steps", len(self.steps), f"1 to {MAX_STEPS} steps")
        for number, step in enumerate(self.steps):
            if not 1 <= step.tasks <= MAX_TASKS_PER_STEP:
                raise _bad(f"steps[{number}].tasks", step.tasks, f"1 to {MAX_TASKS_PER_STEP}")
            if any(not 0 <= earlier < number for earlier in step.after):
                raise _bad(f"steps[{number}].after", list(step.after), "numbers of earlier steps")


def _bad(field, value, bound):
    return IbiscartError(
        ErrorKind.BAD_FIELD,
        f"{field} cannot be used; correct it",
        field=field,
        value=str(value),
        bound=bound,
    )
