"""Guards the checker against documents that are accepted wrongly or refused unclearly."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ibiscart_schema.check import (
    CheckError,
    check_json,
    check_mapping,
    check_yaml,
    enum_names,
    to_mapping,
)
from ibiscart_schema.generated.journal_pb2 import JobState
from ibiscart_schema.generated.settings_pb2 import DrainSettings, EntrySettings, LogSettings
from ibiscart_schema.generated.types_pb2 import (
    SCOPE_RACK,
    Contract,
    JobSpec,
    Resources,
    Scope,
    TargetState,
)

CONTRACT = """\
account: reports
guarantees:
- name: nightly
  shape:
    members: 4
    member: {accelerators: 2, cpu_millis: 8000, memory_mb: 16000}
    scope: rack
  count: 2
burst_accelerators: 16
"""
SETTINGS = """\
entry_id: e1
region: alba
data_centre: perth
server: {address: "127.0.0.1:8080"}
peer: {address: "127.0.0.1:8081", key_file: peer.key}
store: {table_url: "http://127.0.0.1:1", object_url: "http://127.0.0.1:2"}
membership: {url: "http://127.0.0.1:3"}
operators: {key_sha256: ["%s"]}
""" % ("a" * 64)
JOB = {"request_id": "j1", "shape": {"members": 1, "member": {"accelerators": 1}}}


class CheckTest(unittest.TestCase):
    def problems(self, text, message_type=Contract):
        with self.assertRaises(CheckError) as caught:
            check_yaml(text, message_type)
        return [(p.line, p.field) for p in caught.exception.problems]

    def one(self, text, message_type=Contract):
        with self.assertRaises(CheckError) as caught:
            check_yaml(text, message_type)
        self.assertEqual(len(caught.exception.problems), 1, caught.exception)
        return caught.exception.problems[0]

    def test_fills_the_message_and_its_defaults(self):
        """Defaults that stay zero would refuse every job of an account."""
        contract = check_yaml(CONTRACT, Contract)
        self.assertEqual(contract.guarantees[0].shape.scope, SCOPE_RACK)
        self.assertEqual(contract.guarantees[0].shape.member.cpu_millis, 8000)
        self.assertEqual((contract.queued_jobs, contract.weight), (100, 1))
        self.assertEqual(contract.burst_cpu_millis, 1_000_000)
        job = check_mapping(JOB, JobSpec)
        self.assertTrue(job.HasField("repeatable") and job.repeatable)

    def test_fills_optional_sections(self):
        """A section left out must have its defaults, not zeros."""
        entry = check_yaml(SETTINGS, EntrySettings)
        self.assertEqual(entry.scheduler.policy, "adaptive")
        self.assertEqual(entry.drain.deadline_seconds, 60)
        self.assertEqual(entry.server.max_connections, 512)

    def test_reports_all_problems_with_lines(self):
        """An operator must not mend a file one error at a time."""
        text = CONTRACT.replace("members: 4", "members: 65").replace("scope: rack", "scope: row")
        text = text.replace("account: reports", "account: Reports") + "wieght: 3\nqueued_jobs: x\n"
        self.assertEqual(
            self.problems(text),
            [
                (1, "account"),
                (5, "guarantees[0].shape.members"),
                (7, "guarantees[0].shape.scope"),
                (10, "wieght"),
                (11, "queued_jobs"),
            ],
        )

    def test_problem_names_value_bound_and_advice(self):
        """Without them the operator has to read the schema."""
        problem = self.one("account: a\nweight: 101\n")
        self.assertEqual((problem.value, problem.bound), ("101", "1 to 100"))
        self.assertEqual(
            str(problem), "line 2: weight is 101 (allowed: 1 to 100): give a smaller value"
        )

    def test_types(self):
        """A value of another type must not be converted silently."""
        for line in (
            "weight: 1.5",
            "weight: true",
            "weight: '5'",
            "weight: -1",
            "weight: 99999999999999999999999",
            "weight: [1]",
            "weight: {a: 1}",
            "account: 5",
            "account: [a]",
            "guarantees: {name: x}",
            "guarantees: [x]",
            "key_sha256: abc",
            "key_sha256: [1]",
        ):
            text = line if line.startswith("account") else f"account: a\n{line}\n"
            with self.subTest(line):
                self.assertTrue(self.one(text).field.startswith(line.split(":")[0]))

    def test_numbers(self):
        """NaN passes every comparison, and infinity is no time."""
        for value in (".nan", ".inf", "-.inf", "1e400", "10" * 400, "true", "x", "-1", "3601"):
            with self.subTest(value[:20]):
                problem = self.one(f"deadline_seconds: {value}\n", DrainSettings)
                self.assertEqual(problem.field, "deadline_seconds")
                self.assertEqual(problem.bound, "1 to 3600 s")
        self.assertEqual(check_yaml("deadline_seconds: 7", DrainSettings).deadline_seconds, 7.0)

    def test_required(self):
        """An absent, empty or null required field must be named."""
        for text in ("", "{}", "account:\n", "account: ''\n"):
            with self.subTest(text):
                self.assertEqual(self.one(text).field, "account")
        hashes = SETTINGS.replace("a" * 64, "").replace('[""]', "[]")
        self.assertEqual(self.one(hashes, EntrySettings).field, "operators.key_sha256")

    def test_pattern_matches_the_whole_text(self):
        """A match of a part would let newlines and paths into names."""
        for value in ("a\nb", "a/b", "-a", "A", "a" * 41, "a\n"):
            with self.subTest(value):
                with self.assertRaises(CheckError):
                    check_mapping({"account": value}, Contract)
        self.assertEqual(self.one("level: infos", LogSettings).field, "level")

    def test_lists(self):
        """Lists must be bounded, and each item checked."""
        text = f"account: a\nkey_sha256: {['a' * 64] * 3}\n"
        self.assertEqual(self.one(text).bound, "at most 2 items")
        self.assertEqual(self.one("account: a\nkey_sha256: [zz]\n").field, "key_sha256[0]")

    def test_enum_names(self):
        """Short names must come from the prefix that all values share."""
        self.assertEqual(
            list(enum_names(Scope.DESCRIPTOR)), ["worker", "rack", "data_centre", "region"]
        )
        self.assertEqual(enum_names(TargetState.DESCRIPTOR)["lost"], 2)
        self.assertEqual(enum_names(JobState.DESCRIPTOR)["queued"], 0)
        for value in ("SCOPE_RACK", "Rack", "1"):
            text = CONTRACT.replace("scope: rack", f"scope: {value}")
            self.assertIn("worker, rack, data_centre, region", self.one(text).bound)

    def test_repeated_names(self):
        """The last of two values would win without a word."""
        self.assertEqual(self.one("account: a\nweight: 1\nweight: 2\n").line, 3)
        with self.assertRaises(CheckError) as caught:
            check_json('{"account": "a", "weight": 1, "weight": 2}', Contract)
        self.assertEqual(caught.exception.problems[0].field, "weight")

    def test_broken_documents(self):
        """Text that is no document must get an error with its line, not a traceback."""
        for text in (
            "a: [",
            "a: b: c",
            "\tx: 1",
            "- a",
            "5",
            "a: &x *x",
            "!!python/object:os.x {}",
            "a: 1\n---\nb: 2",
            "\x00",
            "[" * 5000,
            "weight: !!timestamp x",
            "? [a]\n: b",
        ):
            with self.subTest(text[:20]):
                with self.assertRaises(CheckError):
                    check_yaml(text, Contract)
        for text in (
            b"",
            b"{",
            b"[]",
            b"1",
            b"\xff",
            b"{'a': 1}",
            b"[" * 100_000,
            b'{"weight": NaN}',
            b'{"weight": ' + b"9" * 5000 + b"}",
            b'{"account": "\\ud800"}',
            b"null",
        ):
            with self.subTest(text[:20]):
                with self.assertRaises(CheckError):
                    check_json(text, Contract)

    def test_aliases_do_not_multiply(self):
        """A short text of nested aliases must not fill the memory."""
        levels = "".join(f"l{n}: &l{n} [{', '.join([f'*l{n - 1}'] * 9)}]\n" for n in range(1, 10))
        problem = self.one("l0: &l0 [x]\n" + levels)
        self.assertEqual(problem.bound, "200000 values")

    def test_lone_surrogate_in_free_text(self):
        """Protobuf raises on it when the message is written to the journal."""
        with self.assertRaises(CheckError) as caught:
            check_json(json.dumps({**JOB, "payload": "\ud800"}), JobSpec)
        self.assertEqual(caught.exception.problems[0].field, "payload")

    def test_fields_of_the_system(self):
        """A caller must not choose the hash that tells repeats from reuse."""
        with self.assertRaises(CheckError) as caught:
            check_mapping({**JOB, "body_sha256": "00"}, JobSpec)
        self.assertEqual(caught.exception.problems[0].field, "body_sha256")

    def test_fixed_fields(self):
        """A body must not name another account than its path."""
        self.assertEqual(check_json("{}", Contract, {"account": "a"}).account, "a")
        with self.assertRaises(CheckError) as caught:
            check_json('{"account": "b"}', Contract, {"account": "a"})
        self.assertEqual(caught.exception.problems[0].bound, "a")

    def test_hides_keys(self):
        """Error messages end up in logs."""
        secret = "s3cret" * 50
        text = SETTINGS.replace("key_file: peer.key", f"key: {secret}")
        with self.assertRaises(CheckError) as caught:
            check_yaml(text, EntrySettings)
        self.assertNotIn("s3cret", str(caught.exception))

    def test_many_problems_are_bounded(self):
        """A long list of mistakes must not become an endless answer."""
        with self.assertRaises(CheckError) as caught:
            check_mapping({f"x{n}": 1 for n in range(10_000)}, Contract)
        self.assertEqual(len(caught.exception.problems), 101)
        self.assertLess(len(str(caught.exception)), 30_000)

    def test_mapping_round_trip(self):
        """What 'show' prints must be accepted by 'apply'."""
        contract = check_yaml(CONTRACT, Contract)
        mapping = json.loads(json.dumps(to_mapping(contract)))
        self.assertEqual(check_mapping(mapping, Contract), contract)

    @settings(max_examples=300, deadline=None)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["account", "guarantees", "shape", "member", "weight", "x"]),
                inner,
                max_size=4,
            ),
            max_leaves=12,
        )
    )
    def test_any_value_is_checked_or_refused(self, value):
        """No input may raise anything but CheckError."""
        for message_type in (Contract, JobSpec, EntrySettings):
            try:
                message = check_mapping(value, message_type)
            except CheckError as error:
                self.assertTrue(error.problems)
            else:
                self.assertEqual(check_mapping(to_mapping_of(message), message_type), message)

    @settings(max_examples=300, deadline=None)
    @given(st.text(max_size=40))
    def test_any_yaml_text_is_checked_or_refused(self, text):
        """No text may raise anything but CheckError."""
        try:
            check_yaml(text, Contract)
        except CheckError as error:
            self.assertTrue(error.problems)

    @settings(max_examples=100, deadline=None)
    @given(st.integers(), st.integers(), st.integers())
    def test_bounds_are_exact(self, accelerators, cpu_millis, memory_mb):
        """A bound off by one is found by the values around it."""
        values = {"accelerators": accelerators, "cpu_millis": cpu_millis, "memory_mb": memory_mb}
        valid = 0 <= accelerators <= 64 and 0 <= cpu_millis <= 1_024_000 and 0 <= memory_mb <= 2**24
        try:
            check_mapping(values, Resources)
        except CheckError:
            self.assertFalse(valid)
        else:
            self.assertTrue(valid)


def to_mapping_of(message):
    mapping = to_mapping(message)
    mapping.pop("body_sha256", None)
    # an empty text counts as absent
    return {name: value for name, value in mapping.items() if value != ""}


if __name__ == "__main__":
    unittest.main()
