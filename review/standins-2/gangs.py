"""Where the members of gangs meet: tells each member when the gang's run is over, and how."""

import time

GANG_WAIT_S = 3.0


class Gang:
    def __init__(self):
        self.members = {}
        self.complete_at = None
        self.over = ""


class Gangs:
    """The runs of gangs by (ID.K.STEP, run)."""

    def __init__(self):
        self._gangs = {}

    async def handle(self, request):
        member = request.json()
        key = member["task"].rpartition(".")[0], member["run"]
        gang = self._gangs.setdefault(key, Gang())
        now = time.monotonic()
        if request.path == "/leave":
            self._leave(gang, member["task"])
            return 200, {}
        spec = member["spec"]
        joined_at, _ = gang.members.setdefault(member["task"], (now, member["runner"]))
        if gang.complete_at is None and len(gang.members) == spec["gang"]:
            gang.complete_at = now
        if not gang.over and gang.complete_at is not None:
            if now - gang.complete_at >= spec["ms"] / 1000:
                gang.over = "done"
        if gang.complete_at is None and now - joined_at > GANG_WAIT_S:
            return 200, {"over": "alone"}
        return 200, {"over": gang.over}

    def forget_runner(self, runner):
        """Ends the gangs with a member on a runner that has crashed."""
        for gang in self._gangs.values():
            for task, (_, member_runner) in list(gang.members.items()):
                if member_runner == runner:
                    self._leave(gang, task)

    def _leave(self, gang, task):
        gang.members.pop(task, None)
        if gang.complete_at is not None and not gang.over:
            gang.over = "broken"
