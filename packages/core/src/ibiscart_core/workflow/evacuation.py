"""
ibiscart_core.workflow.evacuation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Data centres that operators empty, and which starts that rules out.
"""

from ibiscart_core.workflow.report import StartResult

__all__ = ["EvacuationPolicy", "Evacuations"]

# share of the bound on evacuations after which the known ones are too old to start work by; the
# rest covers the time from the check of a start to the start on the worker: one call of 0.6 s, its
# delay on the network, and a process that is short of processor time
MAX_AGE_SHARE = 0.6


class Evacuations:
    """The data centres that are being emptied, as of one version of the operators' table.

    ``data_centres`` has their names. Immutable by convention.
    """

    __slots__ = ("data_centres", "version")

    def __init__(self, version=0, data_centres=()):
        self.version = version
        self.data_centres = frozenset(data_centres)

    def includes(self, worker_info):
        """Returns True if the worker is in a data centre that is being emptied."""
        return worker_info.data_centre in self.data_centres

    def changed(self, version, begun, ended):
        """Returns the ``Evacuations`` of a later version, by the names that were added and removed.

        A name in both counts as added.
        """
        return Evacuations(version, (self.data_centres - set(ended)) | set(begun))


class EvacuationPolicy:
    """Decides whether a start may be sent, by the evacuations that are known and their age.

    No start may reach a data centre later than ``bound_seconds`` after its evacuation was
    acknowledged. With None, there are no evacuations and no start is ruled out.
    """

    def __init__(self, bound_seconds):
        self._max_age_seconds = None if bound_seconds is None else MAX_AGE_SHARE * bound_seconds

    def unconfirmed(self, age_seconds):
        """Returns True if an evacuation may be unknown that rules a start out.

        ``age_seconds`` is how long ago the evacuations were confirmed, infinity if they never were.
        """
        return self._max_age_seconds is not None and age_seconds > self._max_age_seconds

    def refusal(self, worker_info, evacuations, age_seconds):
        """Returns the ``StartResult`` of a start that must not be sent to a worker, else None."""
        if self._max_age_seconds is None:
            return None
        if self.unconfirmed(age_seconds):
            return StartResult.EVACUATIONS_UNCONFIRMED
        return StartResult.EVACUATED if evacuations.includes(worker_info) else None
