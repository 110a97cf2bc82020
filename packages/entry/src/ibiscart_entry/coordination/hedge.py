"""
ibiscart_entry.coordination.hedge
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends a second copy of an idempotent call whose response is overdue.
"""

import trio

__all__ = ["CallHedge"]

# shortest delay of the second copy; workers respond within about 10 ms
MIN_DELAY_SECONDS = 0.15
# the delay is at least this many times the usual latency, so that slow calls are not doubled
DELAY_LATENCIES = 4.0
INITIAL_LATENCY_SECONDS = 0.01
# weight of the newest sample in the moving average of the latency
SAMPLE_WEIGHT = 0.1


class CallHedge:
    """Makes calls and measures their latency; shared by all calls to one kind of server."""

    def __init__(self, clock=trio.current_time):
        self._clock = clock
        self._latency_seconds = INITIAL_LATENCY_SECONDS

    @property
    def delay_seconds(self):
        """Returns the seconds after which an unanswered call is sent again."""
        return max(MIN_DELAY_SECONDS, DELAY_LATENCIES * self._latency_seconds)

    async def call(self, attempt, is_answer, repeat=None):
        """Returns (result, whether one of the attempts got no answer).

        ``attempt`` is an async function that makes the call once, ``repeat`` one that makes it
        again, ``attempt`` by default; ``is_answer`` returns False for the result of an attempt
        without an answer. The first answer counts, and ends the other attempt; without any, the
        result of the first attempt to end.
        """
        race = _Race(is_answer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._attempt, race, attempt)
            with trio.move_on_after(self.delay_seconds):
                await race.finished.wait()
            if not race.finished.is_set():
                race.attempts += 1
                nursery.start_soon(self._attempt, race, repeat or attempt)
                await race.finished.wait()
            nursery.cancel_scope.cancel()
        result = race.answer if race.answered else race.results[0]
        return result, race.attempts > race.answered

    async def _attempt(self, race, make_call):
        """Makes one attempt of a race by the async function ``make_call``."""
        sent_at = self._clock()
        result = await make_call()
        race.results.append(result)
        if race.is_answer(result):
            seconds = self._clock() - sent_at
            self._latency_seconds += SAMPLE_WEIGHT * (seconds - self._latency_seconds)
            race.answered += 1
            race.answer = result
        if race.answered or len(race.results) == race.attempts:
            race.finished.set()


class _Race:
    """Attempts at one call; ``answered`` counts those with an answer."""

    __slots__ = ("answer", "answered", "attempts", "finished", "is_answer", "results")

    def __init__(self, is_answer):
        self.is_answer = is_answer
        self.attempts = 1
        self.results = []
        self.answered = 0
        self.answer = None
        self.finished = trio.Event()
