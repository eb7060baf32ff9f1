"""Tests of the assignment of turns to replicas by a shard's owner."""

import collections
import unittest

from masticdale_routing.assignments import (
    TurnAssignments,
    TurnEnd,
    TurnKey,
    TurnPrompt,
)
from masticdale_routing.failures import FailureReport
from masticdale_routing.fleet import Fleet, Replica

SHARDS = 4
SHARE = 1 / SHARDS


def turn(program, request="r", shard=0):
    return TurnKey(shard, program, request)


class AssignTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet("a", seed=1)
        self.assignments = TurnAssignments(self.fleet)

    def add_replicas(self, count, **changes):
        for number in range(count):
            fields = {
                "id": f"r{number}",
                "service": "model",
                "address": "127.0.0.1",
                "port": number + 1,
                "failure_domain": "a",
                "slots": 8,
                "is_draining": False,
            }
            self.fleet.put(Replica(**(fields | changes)))

    def assign(self, program, request="r", now=0.0, prefix=""):
        return self.assignments.assign(
            turn(program, request), TurnPrompt("model", prefix), SHARE, now
        )

    def test_new_programs_spread_evenly(self):
        """Guards against full replicas beside idle ones, as hashing leaves."""
        self.add_replicas(8)
        count = collections.Counter(self.assign(f"p{n}") for n in range(16))
        self.assertEqual(set(count.values()), {2})

    def test_a_program_keeps_its_replica(self):
        """Guards against a program that leaves its cached prefix."""
        self.add_replicas(8)
        first = self.assign("p", "1")
        self.assignments.release(turn("p", "1"), TurnEnd(first), 0.1)
        for number in range(7):
            self.assign(f"other{number}")
        self.assertEqual(self.assign("p", "2", 0.2), first)

    def test_programs_of_one_prefix_share_a_replica(self):
        """Guards against each replica reading each shared part of a prompt."""
        self.add_replicas(8)
        for prefix in ("x", "y", "z"):
            replicas = set()
            for number in range(10):
                program = f"{prefix}{number}"
                chosen = self.assign(program, prefix=prefix)
                self.assignments.release(turn(program), TurnEnd(chosen), 0.0)
                replicas.add(chosen)
            self.assertEqual(len(replicas), 1)

    def test_a_program_leaves_a_full_replica(self):
        """Guards against waiting at a full replica while others are idle."""
        self.add_replicas(2)
        first = self.assign("p", "1")
        second = self.assign("p", "2")
        third = self.assign("p", "3")
        self.assertEqual(first, second)
        self.assertNotEqual(third, first)

    def run_turns(self, interval_by_id, now=0.0):
        """Runs turns at all replicas, so that their pace is known."""
        for replica_id, interval_s in interval_by_id.items():
            for number in range(10):
                key = turn(f"measured-{replica_id}", f"{number}")
                self.assign(key.program_id, key.request_id, now)
                end = TurnEnd(replica_id, (), interval_s)
                self.assignments.release(key, end, now)

    def test_new_programs_prefer_fast_replicas(self):
        """Guards against programs that are late by a slow replica alone."""
        self.add_replicas(4)
        fast = {"r0": 0.033, "r1": 0.033, "r2": 0.033}
        self.run_turns(fast | {"r3": 0.044})
        chosen = {self.assign(f"p{n}", now=1.0) for n in range(3)}
        self.assertEqual(chosen, set(fast))

    def test_a_slow_replica_is_used_when_the_fast_ones_are_full(self):
        self.add_replicas(4)
        self.run_turns({"r0": 0.03, "r1": 0.03, "r2": 0.03, "r3": 0.04})
        chosen = {self.assign(f"p{n}", now=1.0) for n in range(8)}
        self.assertIn("r3", chosen)

    def test_a_program_leaves_a_replica_that_has_become_slow(self):
        self.add_replicas(4)
        first = self.assign("p", "1")
        self.assignments.release(turn("p", "1"), TurnEnd(first), 0.0)
        fast = {f"r{n}": 0.033 for n in range(4)}
        self.run_turns(fast | {first: 0.3})
        self.assertNotEqual(self.assign("p", "2", now=1.0), first)

    def test_a_program_stays_where_paces_differ_by_load_alone(self):
        """Guards against programs that move to and fro under load.

        Each move reads a whole prompt anew. In a burst, paces of replicas with
        many slots differ by a quarter for a moment.
        """
        self.add_replicas(5, slots=64)
        first = self.assign("p", "0")
        self.assignments.release(turn("p", "0"), TurnEnd(first), 0.0)
        for number in range(1, 20):
            now = float(number)
            slow = f"r{number % 5}"
            paces = {f"r{n}": 0.030 for n in range(5)} | {slow: 0.038}
            self.run_turns(paces, now)
            self.assertEqual(self.assign("p", f"{number}", now), first)
            end = TurnEnd(first, (), paces[first])
            self.assignments.release(turn("p", f"{number}"), end, now)

    def test_a_repeated_call_returns_the_same_replica(self):
        """Guards against counting a turn twice whose reply was lost."""
        self.add_replicas(4)
        first = self.assign("p", "1")
        self.assertEqual(self.assign("p", "1"), first)
        self.assertEqual(self.assignments.turns_at(first), 1)

    def test_a_failing_replica_does_not_look_idle(self):
        """Guards against a replica that fails fast and attracts programs."""
        self.add_replicas(4)
        count = collections.Counter()
        for number in range(40):
            now = number * 0.05
            chosen = self.assign(f"p{number}", now=now)
            count[chosen] += 1
            failed = chosen == "r0"
            end = TurnEnd("" if failed else chosen, ("r0",) if failed else ())
            self.assignments.release(turn(f"p{number}"), end, now)
        self.assertLessEqual(count["r0"], 4)

    def test_a_program_leaves_a_replica_that_failed_it(self):
        self.add_replicas(4)
        first = self.assign("p", "1")
        self.assignments.release(turn("p", "1"), TurnEnd("", (first,)), 0.0)
        self.assertNotEqual(self.assign("p", "2"), first)

    def test_programs_leave_a_replica_that_fails_at_other_hosts(self):
        """Guards against an owner that sends turns to a sick replica.

        Each host tells its failures to the owners of all shards.
        """
        self.add_replicas(4)
        first = self.assign("p", "1")
        self.assignments.release(turn("p", "1"), TurnEnd(first), 0.0)
        for failed_at in (0.1, 0.4):
            self.fleet.failures.merge([FailureReport(first, 0.0)], failed_at)
        self.assertNotEqual(self.assign("p", "2", 0.5), first)
        new = {self.assign(f"n{number}", now=0.5) for number in range(3)}
        self.assertNotIn(first, new)

    def test_a_resumed_turn_moves_its_program(self):
        """The replica that completed a turn has the program's prefix."""
        self.add_replicas(4)
        first = self.assign("p", "1")
        other = next(i for i in ("r0", "r1") if i != first)
        end = TurnEnd(other, (first,))
        self.assignments.release(turn("p", "1"), end, 0.0)
        self.assertEqual(self.assign("p", "2"), other)

    def test_turns_without_an_end_expire(self):
        """Guards against slots lost to settlements that never arrive."""
        self.add_replicas(1)
        for number in range(5):
            self.assign(f"p{number}")
        self.assign("later", now=60.0)
        self.assertEqual(self.assignments.turns_at("r0"), 1)

    def test_turns_of_a_lost_shard_no_longer_count(self):
        self.add_replicas(1)
        self.assign("p")
        self.assignments.drop_shard(0)
        self.assertEqual(self.assignments.turns_at("r0"), 0)

    def test_draining_replicas_and_open_circuits_are_skipped(self):
        self.add_replicas(3)
        states = {s.replica.id: s for s in self.fleet.states()}
        for _ in range(2):
            states["r1"].circuit.record_failure(0.0)
        draining = Replica(
            "r2", "model", "127.0.0.1", 3, "a", slots=8, is_draining=True
        )
        self.fleet.put(draining)
        chosen = {self.assign(f"p{n}", now=0.1) for n in range(12)}
        self.assertEqual(chosen, {"r0"})

    def test_without_eligible_replicas_none_is_assigned(self):
        self.assertEqual(self.assign("p"), "")

    def test_a_warming_replica_gets_less(self):
        self.add_replicas(2)
        states = {s.replica.id: s for s in self.fleet.states()}
        self.add_replicas(1, warmup_remaining_ms=500.0)
        count = collections.Counter(self.assign(f"p{n}") for n in range(5))
        self.assertGreater(count["r1"], count["r0"])
        self.assertIn("r0", states)


if __name__ == "__main__":
    unittest.main()
