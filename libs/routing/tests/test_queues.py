"""Tests of the replica queue."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_common import ErrorKind, Failure
from masticdale_routing import (
    Granted,
    InFlightSettings,
    LoadObservation,
    Queued,
    QueueOrder,
    QueueSettings,
    Refused,
    Ticket,
    TicketResult,
    create_replica_queue,
)

FAR_DEADLINE = 1e6


def ticket(ticket_id, **fields):
    values = {
        "origin": "h1",
        "workspace": "w1",
        "program_id": "p",
        "priority": 1,
        "queued_at": 0.0,
        "deadline_at": FAR_DEADLINE,
        "attained_s": 1.0,
    }
    return Ticket(ticket_id, **{**values, **fields})


def queue(limit=1, **fields):
    in_flight = InFlightSettings(initial=limit, maximum=limit)
    return create_replica_queue(
        "r1", QueueSettings(in_flight=in_flight, **fields)
    )


def serve_all(replica_queue, now=0.0):
    """Finishes running calls until none is left; returns the grant order."""
    order = []
    while True:
        order += [t.ticket_id for t in replica_queue.take_granted(now)]
        running = replica_queue.running()
        if not running:
            return order
        replica_queue.finish(running[0].ticket_id, TicketResult(), now)


class OrderTest(unittest.TestCase):
    def fill(self, replica_queue, tickets):
        replica_queue.offer(ticket("first"), 0.0)
        for each in tickets:
            replica_queue.offer(each, 0.0)

    def test_lower_priority_number_is_served_first(self):
        q = queue()
        self.fill(q, [ticket("b", priority=2), ticket("a", priority=0)])
        self.assertEqual(serve_all(q), ["a", "b"])

    def test_least_attained_service_is_served_first(self):
        q = queue()
        self.fill(q, [ticket("b", attained_s=9.0), ticket("a", attained_s=2.0)])
        self.assertEqual(serve_all(q), ["a", "b"])

    def test_first_come_order_ignores_attained_service(self):
        q = queue(order=QueueOrder.FIRST_COME)
        self.fill(q, [ticket("b", attained_s=9.0), ticket("a", queued_at=1.0)])
        self.assertEqual(serve_all(q), ["b", "a"])

    def test_ticket_beyond_the_age_bound_is_served_first(self):
        q = queue(age_bound_s=10.0)
        old = ticket("old", attained_s=99.0, priority=2)
        self.fill(q, [old, ticket("new", priority=0, queued_at=9.0)])
        self.assertEqual(serve_all(q, now=10.0), ["old", "new"])

    def test_backlog_of_one_workspace_does_not_delay_another(self):
        q = queue()
        backlog = [ticket(f"b{i}", workspace="busy") for i in range(20)]
        self.fill(q, [*backlog, ticket("single", workspace="quiet")])
        self.assertLessEqual(serve_all(q).index("single"), 1)

    def test_shares_follow_weights(self):
        q = queue(weight_by_workspace={"big": 3.0})
        waiting = [ticket(f"big{i}", workspace="big") for i in range(30)]
        waiting += [ticket(f"small{i}", workspace="small") for i in range(30)]
        self.fill(q, waiting)
        served = serve_all(q)[:20]
        self.assertAlmostEqual(
            sum(i.startswith("big") for i in served), 15, delta=1
        )


class AdmissionTest(unittest.TestCase):
    def test_new_programs_are_shed_with_the_excess_wait_as_retry_time(self):
        """A new program is refused if the expected wait exceeds its bound.

        Ten calls of 4 s make 40 s; the bound is 20 s. A program under way is
        queued, since refusing it would waste the service it has had.
        """
        q = queue(max_wait_s_by_priority=(1e9, 20.0))
        q.offer(ticket("first"), 0.0)
        for i in range(9):
            q.offer(ticket(f"t{i}"), 0.0)
        refused = q.offer(ticket("new", attained_s=0.0), 0.0)
        self.assertIsInstance(refused, Refused)
        self.assertIs(refused.failure.kind, ErrorKind.OVERLOADED)
        self.assertAlmostEqual(refused.failure.retry_after_ms, 20_000, delta=1)
        self.assertIsInstance(q.offer(ticket("old"), 0.0), Queued)

    def test_backlog_raises_the_wait_of_its_own_workspace_only(self):
        q = queue()
        for i in range(50):
            q.offer(ticket(f"b{i}", workspace="busy"), 0.0)
        quiet = q.expected_wait_s(ticket("q", workspace="quiet"), 0.0)
        busy = q.expected_wait_s(ticket("b", workspace="busy"), 0.0)
        self.assertLess(quiet * 10, busy)

    def test_expired_ticket_is_removed_and_refused(self):
        q = queue()
        q.offer(ticket("a"), 0.0)
        late = ticket("b", deadline_at=5.0)
        self.assertIsInstance(q.offer(late, 0.0), Queued)
        self.assertEqual(q.take_granted(5.0), [])
        self.assertEqual(q.waiting, 0)
        self.assertIs(
            q.offer(late, 5.0).failure.kind, ErrorKind.DEADLINE_EXCEEDED
        )

    def test_lagging_load_report_is_corrected_by_later_grants(self):
        """Calls of a previous home count as foreign.

        The report is older than this queue's grant, so both of its calls are
        foreign; ignoring them would exceed the limit.
        """
        q = queue(limit=4)
        q.offer(ticket("own"), 5.0)
        q.observe_load(LoadObservation(2, 0, observed_at=4.5), 5.5)
        self.assertEqual(q.in_flight(5.5), 3)
        self.assertIsInstance(q.offer(ticket("a"), 5.5), Granted)
        self.assertIsInstance(q.offer(ticket("b"), 5.5), Queued)

    def test_calls_waiting_in_the_engine_lower_the_limit(self):
        q = queue(limit=16)
        q.observe_load(LoadObservation(6, 3, observed_at=0.0), 0.0)
        self.assertEqual(q.limit, 6)

    def test_limit_increases_at_steady_speed_and_decreases_on_a_drop(self):
        settings = QueueSettings(in_flight=InFlightSettings(4, 64))
        q = create_replica_queue("r1", settings)
        for i in range(400):
            q.offer(ticket(f"t{i}"), 0.0)
        fast = TicketResult(generated_tokens=100, service_s=1.0)
        for _ in range(100):
            q.finish(q.running()[0].ticket_id, fast, 0.0)
            q.take_granted(0.0)
        grown = q.limit
        self.assertGreater(grown, 8)
        slow = TicketResult(generated_tokens=10, service_s=1.0)
        for _ in range(100):
            q.finish(q.running()[0].ticket_id, slow, 0.0)
            q.take_granted(0.0)
        self.assertLess(q.limit, grown)

    def test_one_fast_outlier_does_not_shrink_the_limit(self):
        """One call with an understated duration must not set the best speed.

        Every later batch would look too large and the replica would idle.
        """
        q = queue(limit=8)
        for i in range(100):
            q.offer(ticket(f"t{i}"), 0.0)
        for service_s in (1.0, 0.1, *[1.0] * 60):
            result = TicketResult(generated_tokens=50, service_s=service_s)
            q.finish(q.running()[0].ticket_id, result, 0.0)
            q.take_granted(0.0)
        self.assertEqual(q.limit, 8)


class FailureTest(unittest.TestCase):
    def test_exclusive_ticket_runs_with_nothing_else_in_flight(self):
        """A crash suspect runs alone, so that a crash has only one suspect.

        It waits until the replica is idle; the tickets behind it wait too.
        """
        q = queue(limit=4)
        q.offer(ticket("a"), 0.0)
        suspect = ticket("s", exclusive=True, attained_s=0.0)
        self.assertIsInstance(q.offer(suspect, 0.0), Queued)
        self.assertIsInstance(q.offer(ticket("b"), 0.0), Queued)
        q.finish("a", TicketResult(), 0.0)
        self.assertIsInstance(q.offer(suspect, 0.0), Granted)
        self.assertIsInstance(q.offer(ticket("b"), 0.0), Queued)
        q.finish("s", TicketResult(), 0.0)
        self.assertIsInstance(q.offer(ticket("b"), 0.0), Granted)

    def test_lost_finish_frees_the_slot_after_the_deadline(self):
        """The origin neither finishes nor withdraws a granted ticket.

        The slot is freed a grace period after the call's deadline; otherwise
        the replica would idle.
        """
        q = queue()
        q.offer(ticket("a", deadline_at=10.0), 0.0)
        q.offer(ticket("b"), 0.0)
        self.assertEqual(q.take_granted(39.0), [])
        self.assertEqual([t.ticket_id for t in q.take_granted(41.0)], ["b"])

    def test_tickets_of_a_dead_origin_are_removed(self):
        """A host dies with one call running and one waiting.

        Both are removed; the running one is returned, so that the home can
        cancel it at the engine.
        """
        q = queue()
        q.offer(ticket("a", origin="dead"), 0.0)
        q.offer(ticket("b", origin="dead"), 0.0)
        q.offer(ticket("c"), 0.0)
        dropped = q.drop_origin("dead", 0.0)
        self.assertEqual([t.ticket_id for t in dropped.running], ["a"])
        self.assertEqual([t.ticket_id for t in dropped.waiting], ["b"])
        self.assertEqual([t.ticket_id for t in q.take_granted(0.0)], ["c"])

    def test_new_home_adopts_running_calls(self):
        """After a failover of the home, running calls keep their slots.

        Otherwise the new home would send a second batch to the replica.
        """
        q = queue()
        q.adopt(ticket("running"), 0.0)
        self.assertIsInstance(q.offer(ticket("running"), 0.0), Granted)
        self.assertIsInstance(q.offer(ticket("next"), 0.0), Queued)

    def test_closed_queue_returns_its_waiting_tickets(self):
        """Waiting tickets of a leaving replica must be placed elsewhere.

        Running calls still count as in flight; further offers are refused.
        """
        q = queue()
        q.offer(ticket("a"), 0.0)
        q.offer(ticket("b"), 0.0)
        dropped = q.close(Failure(ErrorKind.NO_UPSTREAM), 0.0)
        self.assertEqual([t.ticket_id for t in dropped.waiting], ["b"])
        self.assertEqual([t.ticket_id for t in dropped.running], ["a"])
        self.assertIsInstance(q.offer(ticket("c"), 0.0), Refused)


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "repeat", "finish", "withdraw", "grants"]),
        st.integers(0, 15),
        st.integers(0, 2),
        st.floats(0, 5),
    ),
    max_size=60,
)


class QueuePropertyTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(OPERATIONS, st.integers(1, 4))
    def test_no_ticket_is_lost_and_the_limit_holds(self, operations, limit):
        q = queue(limit=limit, age_bound_s=20.0)
        held, granted, now = set(), set(), 0.0
        for index, (name, number, priority, step) in enumerate(operations):
            now += step
            each = ticket(
                f"t{number}",
                priority=priority,
                queued_at=now,
                workspace=f"w{number % 3}",
                attained_s=float(1 + number % 5),
                exclusive=number == 7,
            )
            if name in ("offer", "repeat"):
                outcome = q.offer(each, now)
                held.add(each.ticket_id)
                if isinstance(outcome, Granted):
                    granted.add(each.ticket_id)
            if name == "finish":
                q.finish(each.ticket_id, TicketResult(), now)
                held -= granted & {each.ticket_id}
                granted.discard(each.ticket_id)
            if name == "withdraw":
                q.withdraw(each.ticket_id, now)
                held.discard(each.ticket_id)
                granted.discard(each.ticket_id)
            granted |= {t.ticket_id for t in q.take_granted(now)}
            running = {t.ticket_id for t in q.running()}
            self.assertEqual(running, granted, index)
            self.assertLessEqual(len(running), limit)
            self.assertEqual(len(held), len(running) + q.waiting)
            if "t7" in running:
                self.assertEqual(running, {"t7"})
        serve_all(q, now)
        self.assertEqual((q.waiting, q.running()), (0, ()))

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.floats(0, 50), st.floats(0.1, 9)),
            min_size=1,
            max_size=30,
        )
    )
    def test_order_is_age_bound_then_priority_then_attained_service(self, rows):
        q = queue(age_bound_s=40.0)
        q.offer(ticket("first"), 0.0)
        q.take_granted(0.0)
        by_id = {}
        for i, (priority, queued_at, attained_s) in enumerate(rows):
            each = ticket(
                f"t{i}",
                priority=priority,
                queued_at=queued_at,
                attained_s=attained_s,
            )
            by_id[each.ticket_id] = each
            q.offer(each, 50.0)
        q.finish("first", TicketResult(), 50.0)

        def key(item):
            aged = 50.0 - item.queued_at >= 40.0
            if aged:
                return (0, item.queued_at, 0.0, 0.0)
            return (1, item.priority, item.attained_s, item.queued_at)

        served = [key(by_id[i]) for i in serve_all(q, 50.0)]
        self.assertEqual(served, sorted(served))
        self.assertEqual(len(served), len(rows))


if __name__ == "__main__":
    unittest.main()
