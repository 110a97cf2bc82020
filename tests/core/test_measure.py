"""Tests of the evaluation metrics, which must change only with a policy or a trace."""

import io
import json
import pathlib
import unittest
from xml.etree import ElementTree

import yaml

from ibiscart_core.comparison import Comparison, compare
from ibiscart_core.demand import peak_times, trace_capacity, trace_jobs
from ibiscart_core.measure import lower_bound, mean, measure, quantile
from ibiscart_core.policies.adaptive import AdaptivePolicy
from ibiscart_core.policies.fifo import FifoPolicy
from ibiscart_core.report import format_json, format_markdown, format_plot
from ibiscart_core.trace import read_trace, write_trace
from ibiscart_schema.generated.trace_pb2 import TraceEvent
from ibiscart_schema.generated.types_pb2 import SCOPE_RACK, SCOPE_WORKER
from tools import trace_generator

SECOND = 1_000_000
MAX_FILE_BYTES = 300_000
TRACES = pathlib.Path(__file__).parents[2] / "traces"


class Trace:
    """A trace of one account and two racks, each with one worker of 8 accelerators."""

    def __init__(self, guarantee=None, name="small"):
        self.events = [TraceEvent(header={"name": name, "region": "alba"})]
        capacity = {"accelerators": 8, "cpu_millis": 8000, "memory_mb": 8000}
        workers = [{"id": f"w{n}", "rack": f"r{n}", "capacity": capacity} for n in (1, 2)]
        self.command(0, register_workers={"workers": workers})
        contract = {"account": "alpha", "burst_accelerators": 16, "burst_cpu_millis": 99000}
        if guarantee is not None:
            contract["guarantees"] = [{"name": "base", "shape": guarantee, "count": 1}]
        self.command(0, put_contract={"contract": contract | {"queued_jobs": 50}})

    def command(self, seconds, **kind):
        time_us = int(seconds * SECOND)
        event = TraceEvent(time_us=time_us, source="trace", input={"command": kind})
        self.events.append(event)

    def submit(self, seconds, request_id, accelerators, run_seconds, members=1, kind="k"):
        spec = {
            "account": "alpha",
            "request_id": request_id,
            "shape": shape(accelerators, members),
            "kind": kind,
            "declared_seconds": run_seconds,
            "repeatable": True,
        }
        self.command(seconds, submit_job={"spec": spec})
        return self


def shape(accelerators, members=1):
    member = {"accelerators": accelerators, "cpu_millis": 1000, "memory_mb": 1000}
    scope = SCOPE_WORKER if members == 1 else SCOPE_RACK
    return {"members": members, "member": member, "scope": scope}


class MeasureTest(unittest.TestCase):
    def test_computes_nearest_rank_quantiles(self):
        values = list(range(100, 0, -1))
        self.assertEqual(quantile(values, 0.5), 50)
        self.assertEqual(quantile(values, 0.95), 95)
        self.assertEqual(quantile(values, 0.99), 99)
        self.assertEqual(quantile([7], 0.5), 7)
        self.assertIsNone(quantile([], 0.5))
        self.assertIsNone(mean([]))

    def test_counts_completion_from_the_callers_submission(self):
        found = measure(Trace().submit(10, "a", 1, 60).events, FifoPolicy())
        # batch 20 ms, append 5 ms, held 50 ms, batch, append, release 10 ms, then, after the run of
        # 60 s, report 0.5 s and batch
        self.assertAlmostEqual(found["completion_mean"], 60.63, delta=0.005)
        self.assertAlmostEqual(found["short_wait_p50"], 0.095, delta=0.005)

    def test_finds_fragmentation_only_where_adjacency_is_missing(self):
        """A gang for which too few accelerators are free in total does not wait for adjacency."""
        trace = Trace().submit(1, "a", 4, 100).submit(1, "b", 6, 100)
        trace.submit(2, "gang", 2, 10, members=4)
        # 4 and 2 accelerators are free; 8 are needed in one rack: too few by count
        self.assertEqual(measure(trace.events, FifoPolicy())["fragmented_share"], 0.0)
        trace = Trace().submit(1, "a", 4, 100).submit(1, "b", 5, 100)
        trace.submit(2, "gang", 2, 10, members=3)
        # 4 and 3 accelerators are free; 6 are needed in one rack
        found = measure(trace.events, FifoPolicy())
        self.assertAlmostEqual(found["fragmented_share"], 99 / 110, delta=0.02)
        self.assertAlmostEqual(found["largest_free_mean"], (4 * 100 + 8 * 10) / 110, delta=0.2)

    def test_measures_urgent_work_from_the_time_its_guarantee_is_free(self):
        trace = Trace(guarantee=shape(8))
        trace.submit(1, "a", 8, 50).submit(1, "b", 8, 50).submit(10, "c", 8, 50)
        found = measure(trace.events, FifoPolicy())
        self.assertGreater(found["urgent_wait_max"], 30)
        found = measure(trace.events, AdaptivePolicy())
        self.assertLess(found["urgent_wait_max"], 4.2)
        self.assertGreaterEqual(found["urgent_starts"], 1)

    def test_counts_work_that_is_never_started_as_urgent_wait(self):
        """A policy that never starts urgent work must not get a low urgent wait."""
        trace = Trace(guarantee=shape(8))
        trace.submit(1, "a", 8, 50).submit(1, "b", 8, 50).submit(1, "c", 8, 50)

        class IdlePolicy(FifoPolicy):
            def schedule(self, batch):
                pass

        found = measure(trace.events, IdlePolicy())
        self.assertGreater(found["urgent_wait_max"], 3500)

    def test_finds_the_times_of_demand_above_the_capacity(self):
        trace = Trace().submit(1, "a", 8, 100).submit(2, "b", 8, 20).submit(3, "c", 1, 10)
        jobs = trace_jobs(trace.events)
        capacity = trace_capacity(trace.events)
        self.assertEqual(capacity, 16)
        self.assertEqual(peak_times(jobs, capacity), [(3 * SECOND, 13 * SECOND)])

    def test_omits_jobs_that_fit_on_no_worker(self):
        trace = Trace().submit(1, "a", 9, 100).submit(2, "b", 8, 20)
        self.assertEqual([job.key.request_id for job in trace_jobs(trace.events)], ["b"])

    def test_counts_peak_work_that_starts_within_the_bound(self):
        trace = Trace().submit(1, "a", 8, 100).submit(2, "b", 8, 20)
        trace.submit(3, "c", 8, 12).submit(4, "d", 8, 10)
        # job c waits 20 s for b to end; job d waits 32 s for b and c, longer than the limit of 30 s
        found = measure(trace.events, FifoPolicy())
        self.assertEqual(found["peak_service"], 0.5)

    def test_bounds_the_makespan_by_run_time_and_by_capacity(self):
        trace = Trace().submit(0, "a", 8, 100).submit(0, "b", 8, 100).submit(0, "c", 8, 100)
        bound = lower_bound(trace.events, 16)
        self.assertEqual((bound["makespan"], bound["completion_mean"]), (150, 100))
        trace.submit(50, "d", 1, 200)
        self.assertEqual(lower_bound(trace.events, 16)["makespan"], 250)


class ComparisonTest(unittest.TestCase):
    def comparison(self):
        traces = []
        for name in ("macleish-x", "hooghly-x"):
            trace = Trace(name=name)
            for number in range(12):
                trace.submit(1 + number, f"l{number}", 8, 700)
                trace.submit(1 + number, f"s{number}", 1, 20, kind="short")
            traces.append(trace.events)
        users = yaml.safe_load((TRACES / "users.yaml").read_text(encoding="utf-8"))
        return compare(traces, [FifoPolicy, AdaptivePolicy], users)

    def test_gives_the_same_bytes_each_time(self):
        """The committed page must change only with a policy or the traces."""
        first, second = self.comparison(), self.comparison()
        for render in (format_markdown, format_json, format_plot):
            self.assertEqual(render(first), render(second))

    def test_writes_valid_json_and_xml(self):
        comparison = self.comparison()
        found = json.loads(format_json(comparison))
        self.assertEqual(len(found["traces"]), 2)
        self.assertEqual(set(found["scores"]), {"MacLeish", "Hooghly Lipi"})
        plot = ElementTree.fromstring(format_plot(comparison))
        self.assertTrue(plot.tag.endswith("svg"))
        self.assertIn("| macleish-x (contended) | bound |", format_markdown(comparison))

    def test_states_targets_as_reached_only_when_every_trace_reaches_them(self):
        def trace(name, short, large, completion, urgent):
            metrics = {
                "short_wait_p99": short,
                "large_completion_mean": large,
                "completion_mean": completion,
                "urgent_wait_max": urgent,
                "outcome_differences": [],
            }
            base = dict.fromkeys(metrics, 100.0) | {"outcome_differences": []}
            policies = {"fifo": base, "adaptive": metrics}
            return {"name": name, "contended": True, "bound": {}, "policies": policies}

        good = trace("a", 20.0, 66.0, 100.0, 4.2)
        reached = [t["reached"] for t in Comparison([good], "adaptive").targets()]
        self.assertEqual(reached, [True, True, True, True])
        bad = trace("b", 20.1, 67.0, 100.1, 4.3)
        targets = Comparison([good, bad], "adaptive").targets()
        self.assertEqual([t["reached"] for t in targets], [False] * 4)
        self.assertEqual([t["missed_on"] for t in targets], [["b"]] * 4)
        uncontended = good | {"name": "c", "contended": False}
        uncontended["policies"] = bad["policies"]
        reached = [t["reached"] for t in Comparison([good, uncontended], "adaptive").targets()]
        self.assertEqual(reached, [True, True, False, False])


class TraceFilesTest(unittest.TestCase):
    """Tests that the committed traces match their generator."""

    def test_files_are_what_the_generator_writes(self):
        written = {}
        for events in trace_generator.generate():
            file = io.BytesIO()
            write_trace(events, file)
            written[f"{events[0].header.name}.jsonl"] = file.getvalue()
        committed = {path.name: path.read_bytes() for path in sorted(trace_files())}
        self.assertEqual(sorted(written), sorted(committed))
        for name, data in committed.items():
            self.assertTrue(data == written[name], f"{name} differs from its generator")
            self.assertLess(len(data), MAX_FILE_BYTES, name)

    def test_contended_traces_ask_for_more_than_the_capacity(self):
        """Targets mean little on traces in which every policy places each job immediately."""
        for path in trace_files():
            if "ordinary" in path.name:
                continue
            with path.open("rb") as file:
                events = list(read_trace(file))
            capacity = trace_capacity(events)
            self.assertEqual(capacity, 192)
            peaks = peak_times(trace_jobs(events), capacity)
            seconds = sum(end - start for start, end in peaks) / SECOND
            self.assertGreater(seconds, 600, path.name)

    def test_no_policy_beats_the_bound(self):
        for name in ("macleish-short-peak", "hooghly-rack-outage"):
            with (trace_generator.FOLDER / f"{name}.jsonl").open("rb") as file:
                events = list(read_trace(file))
            bound = lower_bound(events, trace_capacity(events))
            for policy in (FifoPolicy(), AdaptivePolicy()):
                found = measure(events, policy)
                self.assertEqual(found["outcome_differences"], [])
                for metric, value in bound.items():
                    if metric in found:
                        self.assertGreater(found[metric], value, (name, metric))


def trace_files():
    return sorted(pathlib.Path(trace_generator.FOLDER).glob("*.jsonl"))


if __name__ == "__main__":
    unittest.main()
