"""Guards docs/operators against tables and examples that no longer hold."""

import re
import unittest
from fnmatch import fnmatch

from ibiscart_core.ledger import Ledger
from ibiscart_core.policies.adaptive import AdaptivePolicy
from ibiscart_core.scheduler import Scheduler
from ibiscart_entry.metric import Metrics
from ibiscart_schema.check import check_mapping, check_yaml, to_mapping
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_PLACED,
    JOB_STATE_QUEUED,
    JOB_STATE_STOPPING,
)
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.settings_pb2 import EntrySettings
from ibiscart_schema.generated.types_pb2 import Contract, JobSpec, WorkerInfo
from tools import operator_docs

SOURCES = operator_docs.DIRECTORY.parents[1] / "packages" / "entry" / "src"
COUNTED = re.compile(r'\.count\(\s*"(\w+)",\s*(f?)"([^"]+)"')
LITERAL_COUNTERS = set(
    "append_conflicts claims dropped lists peer_errors peer_messages retries share_loans stops "
    "target_calls target_errors".split()
)
FENCE = re.compile(r"```yaml\n(.*?)```", re.DOTALL)
START_US = 1_700_000_000_000_000


def blocks(page, mark=""):
    text = (operator_docs.DIRECTORY / page).read_text()
    lines = [block for block in FENCE.findall(text) if block.strip().startswith(mark)]
    return ["\n".join(_unindented(block.splitlines())) for block in lines]


def _unindented(lines):
    indent = min(len(line) - len(line.lstrip()) for line in lines if line.strip())
    return [line[indent:] for line in lines]


class OperatorDocsTest(unittest.TestCase):
    def test_tables_are_up_to_date(self):
        """A table that lags behind the schema misleads operators."""
        self.assertEqual(operator_docs.stale_pages(), [], "run tools/operator_docs.py")

    def test_every_block_is_present(self):
        """A lost marker would let its table disappear."""
        text = "".join(page.read_text() for page in operator_docs.DIRECTORY.glob("*.md"))
        found = [match[2] for match in operator_docs.BLOCK.finditer(text)]
        self.assertEqual(sorted(found), sorted(operator_docs.TABLES))

    def test_no_advice_or_meaning_is_left_over(self):
        """Texts for kinds and settings that are gone must go too."""
        kinds = {kind.value for kind in operator_docs.ErrorKind}
        self.assertEqual(set(operator_docs.ADVICE), kinds)
        names = {name for name, *_ in operator_docs.field_rows(EntrySettings.DESCRIPTOR)}
        self.assertEqual(set(operator_docs.SETTINGS), names)
        self.assertEqual(set(operator_docs.COUNTERS), set(Metrics.COUNTERS))

    def test_every_reason_that_is_counted_has_a_meaning(self):
        """A new reason without a line in counters.md would leave operators guessing."""
        found = set()
        for path in SOURCES.rglob("*.py"):
            found.update(COUNTED.findall(path.read_text()))
        # the pattern must go on finding the counters that have literal reasons
        self.assertEqual({name for name, _, _ in found}, LITERAL_COUNTERS)
        for name, formatted, reason in sorted(found):
            key = reason.partition("{")[0] + "*" if formatted else reason
            with self.subTest(counter=name, reason=reason):
                reasons = operator_docs.COUNTERS[name][1]
                # a value that begins with a variable, or the only kind that a counter has
                if key != "*" and set(reasons) != {"*"}:
                    self.assertTrue(any(fnmatch(key, r) for r in reasons if r != "*"))

    def test_examples_pass_the_check(self):
        """An example in the documentation must not be refused."""
        check_yaml(blocks("settings.md")[0], EntrySettings)
        self.assertEqual(len(blocks("contracts.md", "# contract")), 2)
        for text in blocks("contracts.md", "# contract"):
            check_yaml(text, Contract)
        for text in blocks("contracts.md", "# job"):
            check_yaml(text, JobSpec)

    def test_worked_example(self):
        """Each step of contracts.md must come out as it says."""
        region = Region()
        for text in blocks("contracts.md", "# contract"):
            contract = check_yaml(text, Contract)
            region.decide(put_contract={"contract": contract, "expected_version": 0})
        reservation = next(iter(region.ledger.reservations.values()))
        reserved = set(reservation.workers)
        racks = {region.ledger.workers[worker].rack for worker in reserved}
        self.assertEqual((repr(reservation.key), len(reserved)), ("reports/nightly/0", 4))
        self.assertEqual(len(racks), 1)

        one = {"members": 1, "member": {"accelerators": 8}, "scope": "worker"}
        for number in range(8):
            region.submit("labels", f"l{number}", one)
        burst = list(region.ledger.jobs.values())
        self.assertEqual([job.state for job in burst], [JOB_STATE_PLACED] * 8)

        nightly = to_mapping(check_yaml(blocks("contracts.md", "# job")[0], JobSpec))["shape"]
        region.submit("reports", "n1", nightly)
        claim = region.job("reports", "n1")
        self.assertEqual((claim.state, claim.reservation), (JOB_STATE_PLACED, reservation.key))
        self.assertEqual({member.worker_id for member in claim.members}, set(reservation.workers))
        stopped = [job for job in burst if job.state == JOB_STATE_STOPPING]
        self.assertEqual(len(stopped), 4)
        for job in stopped:
            ended = {"job": job.key.to_message(), "attempt": 1, "rank": 0, "outcome": 2}
            region.decide(report_member={"ended": ended})
        self.assertEqual({job.state for job in stopped}, {JOB_STATE_QUEUED})

        for name in ("n2", "n3"):
            self.assertEqual(region.submit("reports", name, one), "")
            self.assertEqual(region.job("reports", name).state, JOB_STATE_QUEUED)
        self.assertEqual(region.submit("reports", "n4", one), "queue_full")
        many = {"members": 9, "member": {"accelerators": 8}, "scope": "region"}
        self.assertEqual(region.submit("reports", "n5", many), "over_limit")
        large = {"members": 1, "member": {"accelerators": 9}}
        self.assertEqual(region.submit("reports", "n6", large), "impossible_shape")


class Region:
    """Two racks of four workers with 8 accelerators each."""

    def __init__(self):
        self.ledger = Ledger("alba")
        self._scheduler = Scheduler(self.ledger, AdaptivePolicy())
        self._now_us = START_US
        capacity = {"accelerators": 8, "cpu_millis": 128_000, "memory_mb": 256_000}
        workers = [
            WorkerInfo(
                id=f"r{n // 4}w{n % 4}", rack=f"r{n // 4}", data_centre="d", capacity=capacity
            )
            for n in range(8)
        ]
        self.decide(register_workers={"workers": workers})

    def decide(self, **kind):
        """Decides a command and returns the code of its refusal, if any."""
        self._now_us += 1_000_000
        events, replies = self._scheduler.decide([Command(**kind)], self._now_us)
        if events:
            self.ledger.finish_record(self.ledger.sequence + 1, self._now_us)
        return replies[0].error.code

    def submit(self, account, request_id, shape):
        spec = check_mapping({"request_id": request_id, "shape": shape}, JobSpec)
        spec.account = account
        return self.decide(submit_job={"spec": spec})

    def job(self, account, request_id):
        return next(
            job
            for key, job in self.ledger.jobs.items()
            if (key.account, key.request_id) == (account, request_id)
        )


if __name__ == "__main__":
    unittest.main()
