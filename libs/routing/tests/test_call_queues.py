"""Tests of the order and admission of calls that wait for a slot."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Failed

from masticdale_common import ErrorKind, Executed
from masticdale_routing.call_queues import (
    CallQueue,
    CallQueueSettings,
    WaitingCall,
)

# Service of 3 replicas of 6 slots whose calls take 0.1 s.
BEST_RATE_PER_S = 180.0


def call(number, queued_at=0.0, left_s=3.0, finish_s=None, **changes):
    deadline_at = queued_at + left_s
    fields = {
        "number": number,
        "program_id": f"p{number}",
        "rank": 1,
        "queued_at": queued_at,
        "deadline_at": deadline_at,
        "finish_at": deadline_at if finish_s is None else queued_at + finish_s,
        "expected_s": 0.1,
        "size_bytes": 100,
    }
    return WaitingCall(**(fields | changes))


def is_admitted(queue, waiting, now=0.0):
    return not isinstance(queue.offer(waiting, now, BEST_RATE_PER_S), Failed)


def take_all(queue, now=0.0):
    order = []
    while (head := queue.head(now)) is not None:
        queue.remove(head.number, now)
        order.append(head.number)
    return order


class OrderTest(unittest.TestCase):
    """Load: a burst fills all replicas, and calls wait."""

    def order(self, *calls):
        queue = CallQueue()
        for each in calls:
            self.assertTrue(is_admitted(queue, each))
        return take_all(queue)

    def test_urgent_routes_go_first(self):
        """Guards against work in the background that delays users."""
        background = call(1, left_s=1.0, rank=2)
        self.assertEqual(self.order(background, call(2, rank=0)), [2, 1])

    def test_the_program_with_least_time_left_goes_first(self):
        """Guards against a program that ends late while others have time."""
        self.assertEqual(
            self.order(
                call(1, finish_s=60.0),
                call(2, finish_s=4.0),
                call(3, left_s=3.0),
                call(4, finish_s=5.0, expected_s=2.0),
            ),
            [3, 4, 2, 1],
        )

    def test_equal_calls_are_served_first_come(self):
        """Guards against an order that changes between two looks."""
        self.assertEqual(self.order(*(call(n) for n in range(9))), [*range(9)])

    def test_a_call_that_is_refused_again_keeps_its_place(self):
        """Guards against a call that moves back with each refusal."""
        queue = CallQueue()
        for n in range(3):
            is_admitted(queue, call(n))
        first = queue.remove(0, 0.0)
        queue.put_back(first, 0.1)
        self.assertEqual(queue.head(0.1).number, 0)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.floats(0, 5),
                st.floats(0.2, 10),
                st.floats(0, 60),
            ),
            min_size=1,
            max_size=40,
        )
    )
    def test_every_call_leaves_once(self, drawn):
        """Guards against calls lost or served twice, in any order."""
        queue = CallQueue()
        admitted = set()
        for number, (rank, queued_at, left_s, finish_s) in enumerate(drawn):
            waiting = call(number, queued_at, left_s, finish_s, rank=rank)
            if is_admitted(queue, waiting, queued_at):
                admitted.add(number)
        order = take_all(queue, 5.0)
        self.assertEqual(len(order), len(set(order)))
        self.assertEqual(set(order), admitted)
        self.assertEqual(len(queue), 0)


class StarvationTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.integers(0, 9), st.floats(0.02, 0.2), st.floats(3.0, 60.0))
    def test_no_call_starves(self, rank, interval_s, finish_s):
        """Guards against calls that others overtake until their deadline.

        Load: calls of the most urgent rank arrive as fast as they are served.
        """
        queue = CallQueue()
        queue.offer(call(0, left_s=8.0, finish_s=finish_s, rank=rank), 0.0, 0.0)
        now = 0.0
        for number in range(1, 500):
            now += interval_s
            urgent = call(number, now, left_s=8.0, finish_s=0.2, rank=0)
            queue.offer(urgent, now, 0.0)
            head = queue.head(now)
            queue.remove(head.number, now)
            if head.number == 0:
                break
        self.assertLess(now, 2.0 + 2 * interval_s)

    def test_a_looping_program_does_not_delay_others(self):
        """Guards against one looping program that takes every slot.

        Load: a program sends calls without a pause and is about to finish, so
        that by slack alone it would always go first.
        """
        queue = CallQueue()
        number = 0
        now = 0.0
        for _ in range(200):
            for _ in range(4):
                number += 1
                loop = call(number, now, finish_s=0.5, program_id="loop")
                queue.offer(loop, now, 0.0)
            queue.remove(queue.head(now).number, now)
            now += 0.02
        self.assertLessEqual(len(queue), 16)
        waited = 0
        queue.offer(call(0, now, left_s=3.0), now, 0.0)
        while (head := queue.head(now)).number != 0:
            queue.remove(head.number, now)
            waited += 1
            loop = call(number := number + 1, now, program_id="loop")
            queue.offer(loop, now, 0.0)
            now += 0.02
        self.assertLess(waited, 20)

    def test_a_program_with_a_few_calls_loses_nothing(self):
        """Guards against an agent delayed for calls that it sends together."""
        queue = CallQueue()
        for number in range(1, 8):
            is_admitted(queue, call(number, program_id="agent", rank=0))
        is_admitted(queue, call(8, program_id="agent", rank=0))
        is_admitted(queue, call(9, rank=1))
        self.assertEqual(take_all(queue)[-1], 9)

    def test_lost_ranks_are_forgotten(self):
        """Guards against a program that stays behind after its loop."""
        queue = CallQueue()
        for number in range(16):
            is_admitted(queue, call(number, program_id="loop"))
        take_all(queue)
        is_admitted(queue, call(90, 11.0, program_id="loop"), 11.0)
        is_admitted(queue, call(91, 11.0), 11.0)
        self.assertEqual(queue.head(11.0).number, 90)


class AdmissionTest(unittest.TestCase):
    def test_what_cannot_be_served_in_time_is_refused_at_once(self):
        """Guards against callers that wait in vain for their whole deadline.

        Load: calls complete at 4 per second at this host, and 20 wait.
        """
        queue = CallQueue()
        for number in range(20):
            self.assertTrue(is_admitted(queue, call(number, left_s=60.0)))
        now = 0.0
        for _ in range(12):
            now += 0.25
            queue.record_completion(now)
        refused = queue.offer(call(30, now, left_s=2.0), now, BEST_RATE_PER_S)
        self.assertIsInstance(refused, Failed)
        failure = refused.failure()
        self.assertIs(failure.kind, ErrorKind.NO_UPSTREAM)
        self.assertIs(failure.response.ran, Executed.NO)
        self.assertGreater(failure.retry_after_ms, 4000)
        self.assertTrue(is_admitted(queue, call(31, now, left_s=30.0), now))

    def test_the_retry_time_follows_the_expected_wait(self):
        """Guards against refused callers that return all at once."""
        retry_after_ms = []
        for rate_per_s in (40, 20, 10):
            queue = CallQueue()
            for number in range(20):
                queue.offer(call(number, left_s=60.0), 0.0, 0.0)
            now = 0.0
            while now < 3.0:
                now += 1 / rate_per_s
                queue.record_completion(now)
            refused = queue.offer(call(30, now, left_s=0.2), now, 0.0)
            retry_after_ms.append(refused.failure().retry_after_ms)
        self.assertEqual(retry_after_ms, sorted(retry_after_ms))
        self.assertGreater(retry_after_ms[2], 2 * retry_after_ms[0])

    def test_a_burst_is_admitted_while_the_rate_is_unknown(self):
        """Guards against calls refused that free slots would have served."""
        queue = CallQueue()
        admitted = [is_admitted(queue, call(n)) for n in range(200)]
        self.assertTrue(all(admitted))

    def test_a_burst_beyond_all_slots_is_refused_at_once(self):
        """Guards against a burst that waits although no slots suffice.

        Ahead of the last call is work for 0.55 s of all slots; it has 0.2 s.
        """
        queue = CallQueue()
        for number in range(100):
            is_admitted(queue, call(number, rank=0))
        self.assertFalse(is_admitted(queue, call(100, left_s=0.3)))
        self.assertTrue(is_admitted(queue, call(101, left_s=1.0)))

    def test_the_demand_is_not_taken_for_the_rate(self):
        """Guards against a calm host that refuses its first burst."""
        queue = CallQueue()
        for n in range(10):
            queue.record_completion(float(n))
        for number in range(20):
            self.assertTrue(
                is_admitted(queue, call(number, 10.0, left_s=1.0), 10.0)
            )

    def test_a_call_sent_and_refused_leaves_the_rate_known(self):
        """Guards against a rate that each refusal sets back."""
        queue = CallQueue()
        waiting = call(0, left_s=60.0)
        is_admitted(queue, waiting)
        now = 0.0
        while now < 3.0:
            now += 0.05
            queue.remove(0, now)
            queue.put_back(waiting, now + 0.005)
        refused = queue.offer(call(1, now, left_s=0.3), now, BEST_RATE_PER_S)
        self.assertIsInstance(refused, Failed)

    def test_the_queue_is_bounded(self):
        """Guards against waiting calls that take a host's memory."""
        bounds = CallQueueSettings(3, 1000, 2)
        queue = CallQueue(bounds)
        self.assertTrue(is_admitted(queue, call(1, size_bytes=600)))
        self.assertFalse(is_admitted(queue, call(2, size_bytes=600)))
        self.assertTrue(is_admitted(queue, call(3, program_id="p1")))
        self.assertFalse(is_admitted(queue, call(4, program_id="p1")))
        self.assertTrue(is_admitted(queue, call(5)))
        self.assertFalse(is_admitted(queue, call(6)))
        queue.remove(1, 0.0)
        self.assertTrue(is_admitted(queue, call(7, size_bytes=700)))

    def test_time_for_the_response_is_kept(self):
        """Guards against a call sent so late that it can't be answered."""
        self.assertAlmostEqual(call(1, left_s=3.0).latest_start_at, 2.9)
        short = call(2, left_s=0.1, expected_s=0.5)
        self.assertAlmostEqual(short.latest_start_at, 0.05)
        late = call(3, left_s=0.02, expected_s=0.0)
        self.assertFalse(is_admitted(CallQueue(), late))


if __name__ == "__main__":
    unittest.main()
