"""Tests of the decisions of the history client, without a network."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from masticdale_history import Member, TurnKey, TurnRecord
from masticdale_history.decisions import (
    ABSENCE_GRACE_S,
    SUSPECT_PERIOD_S,
    Answer,
    ChainSearch,
    HostStates,
    SavePlan,
    SaveState,
    Verdict,
)
from masticdale_history.records import is_whole_chain

TOLERATED = 2
COPIES = TOLERATED + 1


def members(count, domains=3):
    return [
        Member(f"h{i}", "10.0.0.1", 7000 + i, f"d{i % domains}", f"disk-{i}")
        for i in range(count)
    ]


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.states = HostStates()
        self.ranked = members(5)

    def order(self, now):
        ordered = self.states.order_for_write(self.ranked, now)
        return [int(m.host[1:]) for m in ordered]

    def test_hosts_that_were_never_called_stay_in_rank_order(self):
        """Guards against chains that are spread over all hosts."""
        self.assertEqual(self.order(0.0), [0, 1, 2, 3, 4])

    def test_a_host_that_failed_is_last_for_one_second(self):
        """Guards against saves that each wait for a lost host."""
        self.states.record_failure(self.ranked[1], 10.0)
        self.assertEqual(self.order(10.9), [0, 2, 3, 4, 1])
        self.assertEqual(self.order(10.0 + SUSPECT_PERIOD_S), [0, 1, 2, 3, 4])

    def test_a_host_that_answers_again_is_back_in_its_place(self):
        """Guards against chains that move away for a short failure."""
        self.states.record_failure(self.ranked[1], 10.0)
        self.states.record_answer(self.ranked[1])
        self.assertEqual(self.order(10.1), [0, 1, 2, 3, 4])

    def test_a_full_host_is_last_until_it_has_room(self):
        """Guards against saves that first go to a full disk."""
        self.states.record_refusal(self.ranked[0], 10.0)
        self.states.record_answer(self.ranked[0])
        self.assertEqual(self.order(10.1), [1, 2, 3, 4, 0])
        self.states.record_room(self.ranked[0])
        self.assertEqual(self.order(10.1), [0, 1, 2, 3, 4])

    def test_a_disk_that_is_listed_twice_is_used_once(self):
        """Guards against two copies on one disk that count as two."""
        renamed = Member("new", "10.0.0.1", 7000, "d0", "disk-new")
        same_disk = Member("moved", "10.0.0.9", 7009, "d1", "disk-1")
        self.ranked += [renamed, same_disk]
        ordered = self.states.order_for_write(self.ranked, 0.0)
        self.assertEqual(
            [m.host for m in ordered], ["h0", "h1", "h2", "h3", "h4"]
        )

    def test_a_replaced_host_is_not_judged_by_its_predecessor(self):
        """Guards against a new host that is avoided for an old failure."""
        self.states.record_failure(self.ranked[0], 10.0)
        replaced = Member("h0", "10.0.0.7", 7000, "d0", "disk-7")
        self.assertTrue(self.states.is_reachable(replaced, 10.0))

    def test_states_of_gone_members_are_dropped(self):
        """Guards against memory that grows with each replaced host."""
        self.states.record_failure(self.ranked[0], 10.0)
        self.states.retain(self.ranked[1:])
        self.assertTrue(self.states.is_reachable(self.ranked[0], 10.0))


class RoomTest(unittest.TestCase):
    def setUp(self):
        self.states = HostStates()
        self.member = members(1)[0]

    def has_room(self, member=None, now=10.0):
        return self.states.has_room(member or self.member, now)

    def test_a_host_that_never_answered_has_no_room(self):
        """Guards against turns that are begun while all hosts are lost."""
        self.assertFalse(self.has_room())
        self.assertTrue(self.states.is_suspect(self.member))
        self.states.record_failure(self.member, 0.0)
        self.assertFalse(self.has_room())

    def test_an_answer_to_a_read_shows_no_room(self):
        """Guards against a full host that counts because it serves reads."""
        self.states.record_answer(self.member)
        self.assertFalse(self.has_room())

    def test_a_host_that_takes_records_has_room(self):
        """Guards against 503 although the hosts take turns."""
        self.states.record_answer(self.member)
        self.states.record_room(self.member)
        self.assertTrue(self.has_room())
        self.assertFalse(self.states.is_suspect(self.member))

    def test_another_address_or_disk_has_no_room_before_it_answers(self):
        """Guards against a replaced host that counts before it serves."""
        self.states.record_room(self.member)
        for replaced in (
            Member("h0", "10.0.0.9", 7000, "d0", "disk-0"),
            Member("h0", "10.0.0.1", 7000, "d0", "disk-new"),
        ):
            self.assertFalse(self.has_room(replaced))
            self.assertTrue(self.states.is_suspect(replaced))


class NearTest(unittest.TestCase):
    def setUp(self):
        self.states = HostStates()
        self.ranked = members(6)

    def near(self, domain, now=0.0):
        return self.states.choose_near(self.ranked, COPIES, domain, now)

    def test_the_holder_in_the_own_domain_is_preferred(self):
        """Guards against chains that cross domains without need."""
        self.assertEqual(self.near("d1").host, "h1")

    def test_without_one_in_the_own_domain_the_first_holder_is_chosen(self):
        """Guards against asking a host that holds no copy."""
        self.assertEqual(self.near("elsewhere").host, "h0")

    def test_a_failed_holder_is_replaced_by_the_next_of_the_ranking(self):
        """Guards against loads that each wait for a lost host."""
        self.states.record_failure(self.ranked[1], 0.0)
        self.assertEqual(self.near("d1").host, "h0")
        self.states.record_failure(self.ranked[0], 0.0)
        self.assertEqual(self.near("d1").host, "h4")
        self.assertEqual(self.near("d0").host, "h3")

    def test_none_is_chosen_if_all_have_failed(self):
        """Guards against a delay before all hosts are asked."""
        for member in self.ranked:
            self.states.record_failure(member, 0.0)
        self.assertIsNone(self.near("d1"))


class SavePlanTest(unittest.TestCase):
    def setUp(self):
        self.plan = SavePlan(members(5), COPIES)

    def take(self):
        return [m.host for m in self.plan.take_targets()]

    def test_three_answers_complete_a_save(self):
        """Guards against a save that counts too few copies."""
        self.assertEqual(self.take(), ["h0", "h1", "h2"])
        self.plan.set_synced("h0")
        self.plan.set_synced("h2")
        self.assertIs(self.plan.state, SaveState.PENDING)
        self.plan.set_synced("h1")
        self.assertIs(self.plan.state, SaveState.SYNCED)

    def test_a_repeated_answer_counts_once(self):
        """Guards against one disk that counts as three."""
        self.take()
        for _ in range(3):
            self.plan.set_synced("h0")
        self.assertIs(self.plan.state, SaveState.PENDING)

    def test_no_host_is_called_while_enough_are_awaited(self):
        """Guards against more copies than are needed."""
        self.take()
        self.plan.set_synced("h0")
        self.assertEqual(self.take(), [])

    def test_a_failed_host_is_replaced_at_once(self):
        """Guards against a save that waits for a lost host."""
        self.take()
        self.plan.set_failed("h1")
        self.assertEqual(self.take(), ["h3"])

    def test_an_overdue_host_is_replaced_once_and_still_counts(self):
        """Guards against a save that discards a slow copy."""
        self.take()
        self.plan.set_overdue("h1")
        self.plan.set_overdue("h1")
        self.assertEqual(self.take(), ["h3"])
        self.plan.set_failed("h1")
        self.assertEqual(self.take(), [])
        self.plan.set_overdue("h2")
        self.assertEqual(self.take(), ["h4"])
        for host in ("h0", "h2", "h3"):
            self.plan.set_synced(host)
        self.assertIs(self.plan.state, SaveState.SYNCED)

    def test_a_save_fails_when_too_few_hosts_are_left(self):
        """Guards against a response that waits until its deadline in vain."""
        self.take()
        for host in ("h0", "h1"):
            self.plan.set_failed(host)
        self.assertEqual(self.take(), ["h3", "h4"])
        self.assertIs(self.plan.state, SaveState.PENDING)
        self.plan.set_failed("h4")
        self.assertIs(self.plan.state, SaveState.FAILED)

    def test_too_few_members_fail_without_a_call(self):
        """Guards against records on fewer disks than may be lost."""
        plan = SavePlan(members(2), COPIES)
        self.assertIs(plan.state, SaveState.FAILED)
        self.assertEqual(plan.take_targets(), [])

    @given(st.integers(0, 7), st.data())
    def test_any_order_of_answers(self, count, data):
        """Guards against a wrong count in some order of answers."""
        plan = SavePlan(members(count), COPIES)
        open_hosts, synced, started = set(), set(), []
        while plan.state is SaveState.PENDING:
            targets = [m.host for m in plan.take_targets()]
            started += targets
            open_hosts |= set(targets)
            self.assertEqual(len(started), len(set(started)))
            host = data.draw(st.sampled_from(sorted(open_hosts)))
            event = data.draw(st.sampled_from(("synced", "failed", "overdue")))
            getattr(plan, f"set_{event}")(host)
            if event != "overdue":
                open_hosts.discard(host)
            if event == "synced":
                synced.add(host)
        is_synced = plan.state is SaveState.SYNCED
        self.assertEqual(is_synced, len(synced) >= COPIES)
        if not is_synced:
            possible = len(synced) + len(open_hosts) + count - len(started)
            self.assertLess(possible, COPIES)


class SearchTest(unittest.TestCase):
    def setUp(self):
        self.members = members(6)
        self.search = ChainSearch(TOLERATED)
        for member in self.members:
            self.search.ask(member, 0.0)

    def answer(self, *answers):
        for member, answer in zip(self.members, answers, strict=False):
            self.search.set_answer(member, answer, 0.0)

    def decide(self, now=0.0, listed=None):
        return self.search.decide(
            self.members if listed is None else listed, now
        )

    def test_a_chain_found_at_the_last_host_decides(self):
        """Guards against a 404 while one host has the turn."""
        self.answer(*[Answer.ABSENT] * 5, Answer.FOUND)
        self.assertIs(self.decide(), Verdict.FOUND)

    def test_it_is_absent_if_all_say_so(self):
        """Guards against a caller that retries an unknown turn forever."""
        self.answer(*[Answer.ABSENT] * 6)
        self.assertIs(self.decide(), Verdict.UNKNOWN)

    def test_two_uncertain_answers_are_tolerated(self):
        """Guards against 503 for as long as two disks are lost."""
        for uncertain in (Answer.NONE, Answer.FAILED, Answer.INCOMPLETE):
            self.answer(*[uncertain] * 2, *[Answer.ABSENT] * 4)
            self.assertIs(self.decide(), Verdict.UNKNOWN)

    def test_three_uncertain_answers_are_not(self):
        """Guards against a 404 for a turn on three disks that are lost."""
        self.answer(
            Answer.NONE, Answer.FAILED, Answer.INCOMPLETE, *[Answer.ABSENT] * 3
        )
        self.assertIs(self.decide(), Verdict.UNAVAILABLE)

    def test_a_certain_absence_waits_for_slow_hosts(self):
        """Guards against a 404 just before a slow host finds the turn."""
        self.answer(*[Answer.ABSENT] * 4)
        self.assertIsNone(self.decide(1.0))
        self.assertIsNone(self.decide(1.0 + ABSENCE_GRACE_S / 2))
        self.assertIs(self.decide(1.0 + ABSENCE_GRACE_S), Verdict.UNKNOWN)

    def test_a_host_that_may_still_find_it_is_awaited(self):
        """Guards against a failure while a host may have the turn."""
        self.answer(*[Answer.NONE] * 3, *[Answer.ABSENT] * 2)
        self.assertIsNone(self.decide(10.0))

    def test_nothing_is_certain_without_a_list(self):
        """Guards against a 404 at a host that has just started."""
        self.assertIsNone(self.decide(10.0, []))
        self.answer(*[Answer.ABSENT] * 6)
        self.assertIs(self.decide(10.0, []), Verdict.UNAVAILABLE)

    def test_nothing_is_certain_with_as_few_members_as_may_be_lost(self):
        """Guards against a 404 by the remains of a larger deployment."""
        few = self.members[:TOLERATED]
        search = ChainSearch(TOLERATED)
        for member in few:
            search.ask(member, 0.0)
            search.set_answer(member, Answer.ABSENT, 0.0)
        self.assertIs(search.decide(few, 0.0), Verdict.UNAVAILABLE)

    def test_a_member_listed_meanwhile_is_uncertain(self):
        """Guards against a 404 for a turn on a host that has just joined."""
        self.answer(Answer.NONE, Answer.NONE, *[Answer.ABSENT] * 4)
        joined = Member("new", "10.0.0.2", 7000, "d0", "disk-new")
        listed = [*self.members, joined]
        self.assertIs(self.decide(0.0, listed), Verdict.UNAVAILABLE)

    def test_a_member_replaced_meanwhile_is_uncertain(self):
        """Guards against a 404 by the answer of a disk that is gone."""
        self.answer(Answer.NONE, Answer.NONE, *[Answer.ABSENT] * 4)
        replaced = Member("h5", "10.0.0.2", 7000, "d0", "disk-new")
        listed = [*self.members[:5], replaced]
        self.assertIs(self.decide(0.0, listed), Verdict.UNAVAILABLE)

    @given(
        st.lists(
            st.sampled_from([a for a in Answer if a is not Answer.AWAITED]),
            min_size=3,
            max_size=8,
        ),
        st.data(),
    )
    def test_any_order_of_answers(self, answers, data):
        """Guards against a 404 for a durable turn in some order."""
        listed = members(len(answers))
        holders = data.draw(st.permutations(listed))[:COPIES]
        # A complete disk that holds the turn does not answer that it is absent.
        pairs = [
            (m, Answer.NONE if m in holders and a is Answer.ABSENT else a)
            for m, a in zip(listed, answers, strict=True)
        ]
        search = ChainSearch(TOLERATED)
        for member in listed:
            search.ask(member, 0.0)
        verdict = None
        for number, (member, answer) in enumerate(
            data.draw(st.permutations(pairs))
        ):
            search.set_answer(member, answer, float(number))
            verdict = search.decide(listed, float(number))
            if verdict is not None:
                break
        self.assertIsNotNone(verdict)
        self.assertIsNot(verdict, Verdict.UNKNOWN)
        is_found = verdict is Verdict.FOUND
        self.assertEqual(is_found, Answer.FOUND in [a for _, a in pairs])


class WholeChainTest(unittest.TestCase):
    def test_only_linked_records_up_to_the_turn_are_a_chain(self):
        """Guards against a prompt that lacks turns or has those of others."""

        def record(turn_id, previous_id, workspace="w"):
            return TurnRecord(
                turn_id, workspace, previous_id, "k", b"", b"", 0, 0
            )

        first, second = record("a", ""), record("b", "a")
        key = TurnKey("w", "b")
        self.assertTrue(is_whole_chain((first, second), key))
        for broken in (
            (),
            (second,),
            (first,),
            (second, first),
            (first, record("b", "x")),
            (record("a", "", "v"), second),
            (first, record("b", "a", "v")),
        ):
            self.assertFalse(is_whole_chain(broken, key))


if __name__ == "__main__":
    unittest.main()
