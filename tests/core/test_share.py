"""Guards against shares that add up to more than the quota, and against unused shares."""

import random
import unittest

from ibiscart_core.share import QuotaShares

KEYS = {"slots/r1": 8, "running/a": 64, "queued/b": 5}


class _Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def _shares(name, clock, age=lambda: 0.0, totals=KEYS):
    return QuotaShares(name, lambda key: totals.get(key, 0), clock, age)


class ShareTest(unittest.TestCase):
    def test_rounding_neither_loses_nor_duplicates_a_share(self):
        """Shares must add up to the quota, with remainders on different entries for each key."""
        clock = _Clock()
        entries = [f"e{i}" for i in range(9)]
        all_shares = [_shares(name, clock) for name in entries]
        for shares in all_shares:
            shares.apply_assignment(1, entries)
        for key, total in KEYS.items():
            self.assertEqual(sum(shares.limit(key) for shares in all_shares), total)
        entries_without_share = {
            next(i for i, shares in enumerate(all_shares) if shares.limit(f"slots/r{n}") == 0)
            for n in range(40)
            if not KEYS.update({f"slots/r{n}": 8})
        }
        self.assertGreater(len(entries_without_share), 3)

    def test_share_is_not_reassigned_while_another_entry_uses_it(self):
        """A new assignment must not give out a share that another entry still uses."""
        clock = _Clock()
        a, b = _shares("a", clock), _shares("b", clock)
        for shares in (a, b):
            shares.apply_assignment(1, ["a", "b"])
        self.assertTrue(b.acquire("slots/r1", 4))
        a.apply_assignment(2, ["a"])
        self.assertEqual(a.limit("slots/r1"), 4)
        b.apply_assignment(2, ["a"])
        self.assertEqual(b.limit("slots/r1"), 0)
        # b still runs four requests that started under its old limit
        a.record_heartbeat("b", b.acknowledged_epoch)
        self.assertEqual(a.limit("slots/r1"), 4)
        b.release("slots/r1", 4)
        a.record_heartbeat("b", b.acknowledged_epoch)
        self.assertEqual(a.limit("slots/r1"), 8)

    def test_share_of_a_dead_entry_is_not_lost(self):
        """The share of a killed entry must become usable by others after the timeout."""
        clock = _Clock()
        a = _shares("a", clock)
        a.apply_assignment(1, ["a", "b"])
        a.record_heartbeat("b", 1)
        a.apply_assignment(2, ["a"])
        clock.now = 9.9
        self.assertEqual(a.limit("slots/r1"), 4)
        clock.now = 10.1
        self.assertEqual(a.limit("slots/r1"), 8)

    def test_share_of_an_unreachable_entry_is_not_used_before_its_timeout(self):
        """An entry cut off from its peers learns of an assignment late, from the store alone.

        Until its timeout, the others must not use its share.
        """
        for applied_after in (0.5, 2.0, 9.9, 99.0):
            clock = _Clock()
            confirmed_at = [0.0]
            a = _shares("a", clock)
            b = _shares("b", clock, lambda clock=clock, c=confirmed_at: clock.now - c[0])
            for shares in (a, b):
                shares.apply_assignment(1, ["a", "b"])
            a.record_heartbeat("b", 1)
            a.apply_assignment(2, ["a"])
            for tick in range(1, 120):
                clock.now = tick / 10
                if clock.now >= applied_after:
                    # a confirmed position implies that all earlier records are applied
                    b.apply_assignment(2, ["a"])
                    confirmed_at[0] = clock.now
                usable = a.limit("slots/r1") + b.limit("slots/r1")
                self.assertLessEqual(usable, 8, f"{applied_after} s, at {clock.now} s")
                self.assertEqual(a.limit("slots/r1"), 4 if clock.now <= 10 else 8)

    def test_share_is_not_used_without_a_confirmed_position(self):
        """An entry that is cut off must stop before others may use its share."""
        clock = _Clock()
        age = [0.0]
        a = _shares("a", clock, lambda: age[0])
        a.apply_assignment(1, ["a", "b"])
        self.assertTrue(a.acquire("slots/r1"))
        age[0] = clock.now = 10.1
        self.assertFalse(a.acquire("slots/r1"))
        # while the store is down for all, heartbeats of the others confirm the assignment
        a.record_heartbeat("b", 1)
        self.assertTrue(a.acquire("slots/r1"))
        a.record_heartbeat("b", 2)
        self.assertFalse(a.acquire("slots/r1"))

    def test_unused_share_of_another_entry_is_not_wasted(self):
        """A caller must not wait while another entry has an unused share; it can be borrowed."""
        clock = _Clock()
        a, b = _shares("a", clock), _shares("b", clock)
        for shares in (a, b):
            shares.apply_assignment(1, ["a", "b"])
        while amount := b.lend("slots/r1", 8, a.epoch, 8):
            self.assertTrue(a.borrow("slots/r1", amount, 1, 8))
        self.assertEqual((a.limit("slots/r1"), b.limit("slots/r1")), (8, 0))
        self.assertTrue(a.acquire("slots/r1", 8))
        self.assertEqual(a.lend("slots/r1", 1, 1, 8), 0)

    def test_loan_is_not_kept_when_the_quota_changes(self):
        """A loan made under a larger quota must not raise a limit under a smaller one."""
        clock = _Clock()
        totals = {"running/a": 64}
        a, b = _shares("a", clock, totals=totals), _shares("b", clock, totals=totals)
        for shares in (a, b):
            shares.apply_assignment(1, ["a", "b"])
        a.borrow("running/a", b.lend("running/a", 10, 1, 64), 1, 64)
        self.assertEqual(a.limit("running/a"), 42)
        totals["running/a"] = 4
        self.assertLessEqual(a.limit("running/a") + b.limit("running/a"), 4)
        self.assertFalse(a.borrow("running/a", 3, 1, 64))


class _Entry:
    def __init__(self, name, world):
        self.name = name
        self.world = world
        self.confirmed_at = world.clock.now
        self.partitioned = False
        self.shares = _shares(name, world.clock, lambda: world.clock.now - self.confirmed_at)
        self.confirm()

    def confirm(self):
        if not self.partitioned:
            self.confirmed_at = self.world.clock.now
            for epoch, entries in self.world.assignments:
                self.shares.apply_assignment(epoch, entries)


class _World:
    """Entries with a journal, and messages that are lost, delayed and duplicated."""

    def __init__(self, random_source):
        self.random = random_source
        self.clock = _Clock()
        self.assignments = []
        self.entries = {}
        self.messages = []
        self.counter = 0
        for _ in range(self.random.randint(2, 5)):
            self.start()
        self.assign()
        for entry in self.entries.values():
            entry.confirm()

    def start(self):
        self.counter += 1
        entry = _Entry(f"e{self.counter}", self)
        self.entries[entry.name] = entry

    def assign(self):
        names = sorted(self.entries)
        if self.random.random() < 0.3:
            names = self.random.sample(names, self.random.randint(1, len(names)))
        # an entry of the previous assignment makes the new one, as in a running region
        survivors = set(self.assignments[-1][1]) & set(self.entries) if self.assignments else ()
        names = sorted({*names, *list(survivors)[:1]})
        self.assignments.append((len(self.assignments) + 1, names))

    def send(self, deliver, max_delay=3.0):
        if self.random.random() < 0.2:
            return
        for _ in range(1 + (self.random.random() < 0.1)):
            due = self.clock.now + self.random.uniform(0, max_delay)
            self.messages.append((due, self.random.random(), deliver))

    def heartbeat(self, entry):
        epoch = entry.shares.acknowledged_epoch
        for other in self.entries.values():
            if other is not entry:
                self.send(lambda o=other, n=entry.name, e=epoch: o.shares.record_heartbeat(n, e))

    def ask_loan(self, entry):
        key = self.random.choice(list(KEYS))
        lender = self.random.choice(list(self.entries.values()))
        if lender is entry:
            return
        epoch, total, answers = entry.shares.epoch, KEYS[key], []

        def lend():
            amount = lender.shares.lend(key, self.random.randint(1, 4), epoch, total)
            self.send(lambda: answer(amount), max_delay=20)

        def answer(amount):
            # the borrower uses only the first answer
            if not answers:
                answers.append(amount)
                entry.shares.borrow(key, amount, epoch, total)

        self.send(lend, max_delay=20)

    def use(self, entry):
        key = self.random.choice(list(KEYS))
        if self.random.random() < 0.6:
            entry.shares.acquire(key, self.random.randint(1, 3))
        elif entry.shares.used(key):
            entry.shares.release(key)

    def step(self):
        self.clock.now += self.random.uniform(0, 0.4)
        due = sorted(m for m in self.messages if m[0] <= self.clock.now)
        self.messages = [m for m in self.messages if m[0] > self.clock.now]
        for _, _, deliver in due:
            deliver()
        entry = self.random.choice(list(self.entries.values()))
        action = self.random.random()
        if action < 0.35:
            self.heartbeat(entry)
        elif action < 0.6:
            entry.confirm()
        elif action < 0.75:
            self.use(entry)
        elif action < 0.9:
            self.ask_loan(entry)
        elif action < 0.93:
            entry.partitioned = not entry.partitioned
        elif action < 0.96:
            self.assign()
        elif action < 0.98 and len(self.entries) > 1:
            del self.entries[entry.name]
        elif len(self.entries) < 8:
            self.start()


class SeveralEntriesTest(unittest.TestCase):
    def test_usable_shares_never_exceed_the_quota(self):
        """Guards against shares that are counted twice.

        Loans are lost, delayed or duplicated, entries die, and assignments change.
        """
        full_uses = 0
        for seed in range(60):
            world = _World(random.Random(seed))
            for _ in range(400):
                world.step()
                for key, total in KEYS.items():
                    usable = sum(e.shares.limit(key) for e in world.entries.values())
                    self.assertLessEqual(usable, total, f"seed {seed}, {key}")
                    full_uses += usable == total
        self.assertGreater(full_uses, 1000)


if __name__ == "__main__":
    unittest.main()
