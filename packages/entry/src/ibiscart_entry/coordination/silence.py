"""
ibiscart_entry.coordination.silence
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Distinguishes a store that has gone silent from one that is slow.
"""

import trio

__all__ = ["Silence"]

# a store that has turned slow takes up to 70 times its usual 7 ms for its first late answer
SILENT_SECONDS = 0.6
# the next ones are waited for in proportion to those that came
SILENT_ANSWERS = 4.0
# no client waits longer for an answer, so more is never learned
LONGEST_SECONDS = 2.0
# what an answer takes on a calm day
FIRST_ANSWER_SECONDS = 0.01
# weight of the newest answer in the mean, which follows a change within some ten answers
ANSWER_WEIGHT = 0.2


class Silence:
    """Since when calls have been open without any answer; ``clock`` is in seconds."""

    def __init__(self, clock=trio.current_time):
        self._clock = clock
        self._open = 0
        self._since = None
        self.usual_seconds = FIRST_ANSWER_SECONDS

    @property
    def lasting(self):
        """Whether an answer is overdue."""
        if self._since is None:
            return False
        patience = max(SILENT_SECONDS, SILENT_ANSWERS * self.usual_seconds)
        return self._clock() - self._since > min(patience, LONGEST_SECONDS)

    def begin(self):
        """Notes that a call was sent."""
        self._open += 1
        if self._since is None:
            self._since = self._clock()

    def end(self):
        """Notes that a call is no longer waited for."""
        self._open -= 1

    def answer(self, asked_at):
        """Notes the answer to a call.

        While calls are open that were sent later, it tells nothing about those.
        """
        if not self._open:
            self._since = None
        elif self._since is not None and asked_at >= self._since:
            self._since = self._clock()

    def learn(self, seconds):
        """Takes the time of a direct answer into account, a longer one at once."""
        smoothed = self.usual_seconds + ANSWER_WEIGHT * (seconds - self.usual_seconds)
        self.usual_seconds = max(seconds, smoothed)
