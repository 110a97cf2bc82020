"""Guards the way from a run of real processes over its recordings to a replay."""

import io
import pathlib
import signal
import unittest

import trio
from click.testing import CliRunner

from ibiscart_cli.main import main
from ibiscart_core.policies.adaptive import AdaptivePolicy
from ibiscart_core.recording import merge
from ibiscart_core.replay import Replay
from ibiscart_core.trace import write_trace
from tests.demo.test_scenarios import ScenarioTest

FROZEN_SECONDS = 2.6
FLUSH_SECONDS = 6


class RecordingTest(ScenarioTest):
    def test_a_recorded_run_merges_and_replays(self):
        """A frozen writer makes several entries record the same commands."""

        async def scenario(run):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run.run_jobs, 6)
                await trio.sleep(0.7)
                writer = await run.preferred_writer()
                run.fleet.signal(writer, signal.SIGSTOP)
                await trio.sleep(FROZEN_SECONDS)
                run.fleet.signal(writer, signal.SIGCONT)
            await trio.sleep(FLUSH_SECONDS)
            await trio.to_thread.run_sync(self.fetch, run.fleet)

        self.run_scenario(scenario, settings={"log": {"trace_objects": True}})

    def fetch(self, fleet):
        """Fetches and merges what is in the object store with the operators' commands."""
        path = pathlib.Path(fleet.folder) / "fetched"
        store = f"http://{fleet.addresses['objects']}"
        arguments = ["--store", store, "--region", "loopback", "--output", str(path)]
        merged = ["merge", str(path), "--output", str(path) + ".jsonl"]
        for call in (["fetch", *arguments], merged):
            result = CliRunner().invoke(main, ["trace", *call])
            self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn(" 0 decided differently", result.output)

    def check(self, scenario):
        super().check(scenario)
        self.assertEqual(len(scenario.jobs), 6)
        entries = {entry.id for entry in scenario.fleet.entries}
        events = [event for event in scenario.fleet.events() if event.source in entries]
        recording = merge(events, AdaptivePolicy())
        self.assertEqual(recording.differences, [])
        written = []
        for _ in range(2):
            run = Replay(recording.events, AdaptivePolicy()).run()
            self.assertEqual(run.outcome_differences(), [])
            written.append(io.BytesIO())
            write_trace(run.events, written[-1])
        self.assertEqual(written[0].getvalue(), written[1].getvalue())


if __name__ == "__main__":
    unittest.main()
