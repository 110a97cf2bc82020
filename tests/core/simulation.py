"""Runs the jobs of a world in simulated time with run times that the test chooses."""

from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_RUNNING,
    JOB_STATE_STOPPING,
    MEMBER_STOPPED,
)
from tests.core.world import ended, held


class Simulation:
    """Advances a ``World`` in ticks; ``run_seconds(job)`` returns a job's run time."""

    def __init__(self, world, run_seconds, tick_seconds=5.0):
        self.world = world
        self.started = {}
        self.stops = {}
        self.reasons = {}
        self.seconds = 0.0
        self._run_seconds = run_seconds
        self._tick_seconds = tick_seconds

    def tick(self, *commands):
        """Sends ``commands``, ends due and stopping jobs, and starts placed jobs that fit."""
        world = self.world
        now_us = world.now_us + int(self._tick_seconds * 1e6)
        end_reports = []
        for job in world.working.active.values():
            if job.state == JOB_STATE_STOPPING:
                end_reports += [ended(job, rank, MEMBER_STOPPED) for rank in job.open_members]
            elif job.state == JOB_STATE_RUNNING:
                if job.released_us + self._run_seconds(job) * 1e6 <= now_us:
                    end_reports += [ended(job, rank) for rank in job.open_members]
        world.send(*end_reports, *commands, seconds=self._tick_seconds)
        self.seconds += self._tick_seconds
        for placed in world.events_of("job_placed"):
            self.reasons.setdefault(placed.reason, []).append(placed.job.request_id)
        for stopping in world.events_of("job_stopping"):
            name = stopping.job.request_id
            self.stops[name] = self.stops.get(name, 0) + 1
        startable = world.startable()
        for job in startable:
            self.started.setdefault(job.key.request_id, self.seconds)
        world.send(*[held(job) for job in startable], seconds=0)
