"""
ibiscart_core.policies.hold
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places held for a waiting gang until the running work on them has ended.
"""

__all__ = ["Hold", "find_hold", "least_spare"]


class Hold:
    """Places that a waiting ``job`` is to get at ``start_us`` by the estimates.

    ``spare`` maps the ids of the held workers to the amounts that other work may have
    beyond that time. A ``strict`` hold leaves only these to any other job; otherwise jobs
    that end before the start may use the places too. ``bit`` tells the holds of a pass apart.
    """

    __slots__ = ("bit", "job", "spare", "start_us", "strict")

    def __init__(self, job, start_us, spare, strict):
        self.job = job
        self.start_us = start_us
        self.spare = spare
        self.strict = strict
        self.bit = 1

    def binds(self, job, end_us):
        """Tells whether a job that ends at ``end_us`` must leave the held places."""
        return job is not self.job and (self.strict or end_us > self.start_us)

    def use(self, workers, member):
        """Takes one ``member`` for each entry of ``workers`` out of the spare amounts."""
        for worker_id in workers:
            spare = self.spare.get(worker_id)
            if spare is not None:
                self.spare[worker_id] = (
                    spare[0] - member.accelerators,
                    spare[1] - member.cpu_millis,
                    spare[2] - member.memory_mb,
                )


def find_hold(view, job, now_us, strict=False, taken=()):
    """Returns the ``Hold`` in the domain where ``job`` can start first, or None.

    A strict hold is for a job that precedes all others. It takes the domain in which the
    least is still occupied instead: nothing new is placed there, so that choice stays while
    estimates prove wrong, and the domain drains. Workers in ``taken`` are not used.
    """
    shape = job.shape
    domains = {}
    for worker in view.ledger.workers.values():
        if worker.id not in taken:
            times = view.timeline.times(worker, shape, job.spec.repeatable, now_us)
            if times:
                lack = _lack(worker, shape, len(times))
                places = domains.setdefault(worker.domain(shape.scope), [])
                places.extend((time, lack, worker.id) for time in times)
    best = None
    for name, places in domains.items():
        if len(places) < shape.members:
            continue
        places.sort(key=(lambda place: (place[1], place[0], place[2])) if strict else None)
        chosen = places[: shape.members]
        start_us = max(time for time, _, _ in chosen)
        lack = sum({worker_id: lack for _, lack, worker_id in chosen}.values())
        key = (lack, start_us, name) if strict else (start_us, lack, name)
        if best is None or key < best[0]:
            best = (key, start_us, [worker_id for _, _, worker_id in chosen])
    if best is None:
        return None
    _, start_us, chosen = best
    return Hold(job, start_us, _spare(view, shape, chosen, start_us, now_us), strict)


def _lack(worker, shape, members):
    """Returns what is occupied on a worker of the places that ``members`` members need."""
    if shape.member.accelerators:
        return max(0, members * shape.member.accelerators - worker.free.accelerators)
    return max(0, members * shape.member.cpu_millis - worker.free.cpu_millis)


def _spare(view, shape, chosen, start_us, now_us):
    spare = {}
    for worker_id in set(chosen):
        worker = view.ledger.workers[worker_id]
        have = view.timeline.amounts_at(worker, start_us, now_us)
        need = shape.member.scaled(chosen.count(worker_id))
        spare[worker_id] = (
            have[0] - need.accelerators,
            have[1] - need.cpu_millis,
            have[2] - need.memory_mb,
        )
    return spare


def least_spare(holds):
    """Returns, for each held worker, the amounts that all of ``holds`` leave; None for none."""
    if not holds:
        return None
    spare = dict(holds[0].spare)
    for hold in holds[1:]:
        for worker_id, amounts in hold.spare.items():
            known = spare.get(worker_id)
            spare[worker_id] = amounts if known is None else tuple(map(min, known, amounts))
    return spare
