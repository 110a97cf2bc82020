"""Builds the recorded events of a small run for tests of the audit."""

from ibiscart_core.audit import audit
from ibiscart_schema.generated.journal_pb2 import JOB_COMPLETED, Event, Record
from ibiscart_schema.generated.trace_pb2 import TraceEvent
from ibiscart_schema.generated.types_pb2 import RAN_YES, SCOPE_RACK

__all__ = ["MEMBER", "Recording", "SECOND", "key"]

SECOND = 1_000_000
MEMBER = {"accelerators": 4, "cpu_millis": 8000, "memory_mb": 1000}


class Recording:
    """A recording with two workers and one account with a guaranteed gang of two members."""

    def __init__(self):
        self.events = []
        self.sequence = 0
        self.record(
            0,
            *(
                {
                    "worker_registered": {
                        "worker": {
                            "id": f"w{n}",
                            "rack": "r1",
                            "data_centre": "perth",
                            "capacity": {
                                "accelerators": 8,
                                "cpu_millis": 32000,
                                "memory_mb": 64000,
                            },
                        }
                    }
                }
                for n in (1, 2)
            ),
            self.contract(1),
            self.reserve("w1", "w2"),
        )

    @staticmethod
    def contract(version, account="alpha", queued_jobs=2):
        shape = {"members": 2, "member": MEMBER, "scope": SCOPE_RACK}
        return {
            "contract_changed": {
                "contract": {
                    "account": account,
                    "version": version,
                    "guarantees": [{"name": "gang", "shape": shape, "count": 1}],
                    "burst_accelerators": 16,
                    "burst_cpu_millis": 64000,
                    "queued_jobs": queued_jobs,
                }
            }
        }

    @staticmethod
    def reserve(*workers, account="alpha"):
        key = {"account": account, "guarantee": "gang", "index": 0}
        return {"reservation_set": {"key": key, "workers": workers}}

    @staticmethod
    def submitted(request_id, repeatable=True, member=MEMBER, members=2):
        shape = {"members": members, "member": member, "scope": SCOPE_RACK}
        spec = {"account": "alpha", "request_id": request_id, "shape": shape}
        return {"job_submitted": {"spec": spec | {"repeatable": repeatable}}}

    @staticmethod
    def placed(request_id, *workers, attempt=1, claim=False):
        body = {"job": key(request_id), "attempt": attempt, "workers": workers}
        if claim:
            body["reservation"] = {"account": "alpha", "guarantee": "gang", "index": 0}
        return {"job_placed": body}

    def add(self, seconds, source, **kind):
        self.events.append(TraceEvent(time_us=int(seconds * SECOND), source=source, **kind))

    def record(self, seconds, *items, entry="e1", sequence=None):
        self.sequence = sequence or self.sequence + 1
        record = Record(
            region="alba",
            sequence=self.sequence,
            token=f"t{self.sequence}{entry if sequence else ''}",
            time_us=int(seconds * SECOND),
            events=[Event(**item) for item in items],
        )
        self.add(seconds, entry, record_applied={"entry_id": entry, "record": record})

    def add_action(self, seconds, target, action, request_id, rank=0, attempt=1, members=2):
        body = {"target_id": target, "action": action, "account": "alpha"}
        body |= {"request_id": request_id, "rank": rank, "attempt": attempt, "members": members}
        self.add(seconds, target, target_action=body)

    def request(self, seconds, request_id, entry="e1", repeatable=True, job=False):
        body = key(request_id) | {"entry_id": entry, "repeatable": repeatable, "job": job}
        self.add(seconds, "caller", caller_request=body)

    def answer(self, seconds, request_id, entry="e1", **fields):
        body = key(request_id) | {"entry_id": entry} | fields
        self.add(seconds, "caller", caller_answer=body)

    def succeed(self, seconds, request_id, entry="e1"):
        fields = {"status": 200, "ran": RAN_YES, "complete": True, "body_request_id": request_id}
        self.answer(seconds, request_id, entry, **fields)

    def run_job(self, at, request_id="j1", repeatable=True):
        """Adds a job that is submitted at ``at`` (s), runs on both workers and completes."""
        submitted = self.submitted(request_id, repeatable)
        self.record(at, submitted, self.placed(request_id, "w1", "w2", claim=True))
        for rank, worker in enumerate(("w1", "w2")):
            self.add_action(at + 0.1, worker, "started", request_id, rank)
        self.record(at + 0.2, {"job_released": {"job": key(request_id), "attempt": 1}})
        for rank, worker in enumerate(("w1", "w2")):
            self.add_action(at + 0.3 + rank / 10, worker, "released", request_id, rank)
        for rank, worker in enumerate(("w1", "w2")):
            self.add_action(at + 60 + rank * 10, worker, "completed", request_id, rank)
        self.record(at + 71, self.ended(request_id))

    @staticmethod
    def ended(request_id, ran=RAN_YES):
        return {"job_ended": {"job": key(request_id), "outcome": JOB_COMPLETED, "ran": ran}}

    def violations(self):
        return audit(self.events)


def key(request_id):
    return {"account": "alpha", "request_id": request_id}
