"""Tests of budgets when accounts in memory are lost."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from masticdale_gateway import AdmissionClaim
from masticdale_ledger.accounts import (
    Accounts,
    Admitted,
    Bound,
    BudgetExceeded,
    NeedsRecord,
)

RECORD = "record"


def claim(request_id, budget, max_turn_tokens):
    return AdmissionClaim("program", request_id, budget, max_turn_tokens)


class Ledger:
    """The ledger of one program: an account, and a record in a store."""

    def __init__(self, budget, max_turn_tokens):
        self.budget = budget
        self.max_turn_tokens = max_turn_tokens
        self.bound = None
        self.writes = 0
        self.accounts = Accounts()
        self.is_complete = True

    def lose_memory(self):
        bounds = {RECORD: self.bound} if self.bound else {}
        self.accounts = Accounts(bounds)
        self.is_complete = False

    def admit(self, request_id):
        turn = claim(request_id, self.budget, self.max_turn_tokens)
        while True:
            account = self.accounts.get_or_create(
                turn, RECORD, self.is_complete, 0.0
            )
            verdict = account.evaluate(turn)
            if isinstance(verdict, Admitted):
                self.accounts.reserve(turn)
                return True
            if isinstance(verdict, BudgetExceeded):
                return False
            self.writes += 1
            self.bound = Bound(verdict.bound_tokens, self.writes)
            self.accounts.set_bound("program", self.bound)


class BudgetTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    @hypothesis.given(
        turns=st.integers(1, 12),
        max_turn_tokens=st.integers(1, 1000),
        steps=st.lists(
            st.one_of(
                st.tuples(st.just("admit"), st.integers(0, 1000)),
                st.tuples(st.just("settle"), st.integers(0, 1000)),
                st.tuples(st.just("lose"), st.just(0)),
            ),
            max_size=80,
        ),
    )
    def test_losses_grant_at_most_the_budget_and_one_turn(
        self, turns, max_turn_tokens, steps
    ):
        """Guards against a program that gets its budget again after a loss.

        Turns settle with any part of their maximum, and all accounts may be
        lost at any time; only the record remains. The total must stay within
        the budget plus one turn.
        """
        budget = int(1.5 * turns * max_turn_tokens)
        ledger = Ledger(budget, max_turn_tokens)
        used = {}
        open_ids = []
        for number, (kind, amount) in enumerate(steps):
            if kind == "lose":
                ledger.lose_memory()
                open_ids.clear()
            elif kind == "admit":
                if ledger.admit(str(number)):
                    used[str(number)] = max_turn_tokens
                    open_ids.append(str(number))
            elif open_ids:
                request_id = open_ids.pop(0)
                used[request_id] = min(amount, max_turn_tokens)
                ledger.accounts.settle("program", request_id, used[request_id])
        self.assertLessEqual(sum(used.values()), budget + max_turn_tokens)

    def test_programs_below_the_unrecorded_limit_write_no_record(self):
        ledger = Ledger(budget=3 * 150, max_turn_tokens=100)
        for number in range(3):
            self.assertTrue(ledger.admit(str(number)))
            ledger.accounts.settle("program", str(number), 20)
        self.assertEqual(ledger.writes, 0)

    def test_a_spent_budget_stays_spent_after_a_loss(self):
        """Guards against a program that gets its budget again from a new owner.

        The new owner reads the record and grants one turn at most.
        """
        ledger = Ledger(budget=1600, max_turn_tokens=100)
        number = 0
        while ledger.admit(str(number)):
            ledger.accounts.settle("program", str(number), 100)
            number += 1
        ledger.lose_memory()
        admitted = sum(ledger.admit(f"after-{n}") for n in range(50))
        self.assertLessEqual(admitted, 1)

    def test_a_program_with_budget_left_continues_after_losses(self):
        """Guards against 402 for a program with most of its budget left.

        A record written too far ahead counts as spent after each loss of all
        hosts.
        """
        ledger = Ledger(budget=1600, max_turn_tokens=100)
        for loss in range(4):
            for turn in range(2):
                request_id = f"{loss}-{turn}"
                self.assertTrue(ledger.admit(request_id))
                ledger.accounts.settle("program", request_id, 20)
            ledger.lose_memory()
        self.assertTrue(ledger.admit("last"))

    def test_one_record_serves_several_turns(self):
        ledger = Ledger(budget=1600, max_turn_tokens=100)
        ledger.lose_memory()
        for number in range(5):
            self.assertTrue(ledger.admit(str(number)))
            ledger.accounts.settle("program", str(number), 20)
        self.assertEqual(ledger.writes, 1)

    def test_a_budget_of_one_turn_admits_a_turn_after_a_loss(self):
        ledger = Ledger(budget=150, max_turn_tokens=100)
        self.assertTrue(ledger.admit("first"))
        ledger.lose_memory()
        self.assertTrue(ledger.admit("again"))

    def test_reservations_in_flight_are_no_final_refusal(self):
        """Guards against 402 for sub-agents that start together.

        Two turns in flight reserve their maximum and leave no room for a third
        until one of them settles.
        """
        ledger = Ledger(budget=250, max_turn_tokens=100)
        self.assertTrue(ledger.admit("a"))
        self.assertTrue(ledger.admit("b"))
        account = ledger.accounts.get("program")
        waits = account.evaluate(claim("c", 250, 100))
        self.assertFalse(waits.is_final)
        ledger.accounts.settle("program", "a", 20)
        self.assertTrue(ledger.admit("c"))
        ledger.accounts.settle("program", "b", 100)
        ledger.accounts.settle("program", "c", 100)
        self.assertTrue(account.evaluate(claim("d", 250, 100)).is_final)

    def test_repeated_requests_for_one_turn_reserve_once(self):
        ledger = Ledger(budget=300, max_turn_tokens=100)
        for _ in range(10):
            self.assertTrue(ledger.admit("same"))

    def test_unknown_programs_need_a_record_after_a_loss(self):
        ledger = Ledger(budget=1600, max_turn_tokens=100)
        ledger.lose_memory()
        turn = claim("a", 1600, 100)
        account = ledger.accounts.get_or_create(turn, RECORD, False, 0.0)
        self.assertIsInstance(account.evaluate(turn), NeedsRecord)


class EvictionTest(unittest.TestCase):
    """Guards against budgets that are granted again after an eviction."""

    def setUp(self):
        self.accounts = Accounts()

    def reserve(self, program_id, now=0.0):
        turn = AdmissionClaim(program_id, f"{program_id}-1", 400, 100)
        self.accounts.get_or_create(turn, RECORD, True, now)
        self.accounts.reserve(turn)

    def test_a_turn_in_flight_keeps_its_account_beyond_the_idle_time(self):
        self.reserve("p")
        self.assertEqual(self.accounts.evict_idle(130.0), [])
        self.accounts.settle("p", "p-1", 80)
        self.assertEqual(self.accounts.get("p").spent_tokens, 80)
        evicted = self.accounts.evict_idle(130.0)
        self.assertEqual([a.program_id for a in evicted], ["p"])

    def test_an_older_turn_in_flight_does_not_keep_other_accounts(self):
        self.reserve("running")
        self.reserve("idle", now=1.0)
        self.accounts.settle("idle", "idle-1", 80)
        evicted = self.accounts.evict_idle(130.0)
        self.assertEqual([a.program_id for a in evicted], ["idle"])

    def test_a_turn_that_never_settles_is_evicted_in_the_end(self):
        """Guards against accounts leaked by lost settlements."""
        self.reserve("p")
        evicted = self.accounts.evict_idle(300.0)
        self.assertEqual([a.program_id for a in evicted], ["p"])

    def test_at_the_limit_programs_without_turns_in_flight_go_first(self):
        with mock.patch("masticdale_ledger.accounts._MAX_ACCOUNTS", 3):
            for number in range(3):
                self.reserve(f"p{number}")
            self.accounts.settle("p1", "p1-1", 80)
            self.reserve("p3")
        kept = [a.program_id for a in self.accounts.all()]
        self.assertEqual(kept, ["p0", "p2", "p3"])

    def test_at_the_limit_the_newest_program_is_kept(self):
        """Guards against a turn whose account goes before it is reserved."""
        with mock.patch("masticdale_ledger.accounts._MAX_ACCOUNTS", 2):
            for number in range(3):
                self.reserve(f"p{number}")
        kept = [a.program_id for a in self.accounts.all()]
        self.assertEqual(kept, ["p1", "p2"])


if __name__ == "__main__":
    unittest.main()
