"""Tests of the budget that the connections of all callers share."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from masticdale_common import BudgetLimits, ConnectionBudget, limits_of_host

MEMORY_BYTES = 1_000_000
LARGE_BYTES = 100_000
SMALL_BYTES = 10_000
LIMITS = BudgetLimits(MEMORY_BYTES, 8)


class Connection:
    """A holder that gives up what it can."""

    def __init__(self, budget):
        self.given_up = 0
        self.is_closed = False
        self.account = budget.open(self)

    def give_up_unserved(self):
        self.given_up += 1
        account = self.account
        account.update(account.held_bytes - account.unserved_bytes, 0)

    def close_unserved(self):
        self.is_closed = True
        self.account.close()

    def hold(self, held_bytes, unserved_bytes):
        self.account.update(held_bytes, unserved_bytes)


class ConnectionBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = ConnectionBudget(LIMITS)

    def connect(self, count):
        return [Connection(self.budget) for _ in range(count)]

    def test_the_largest_unserved_request_goes_first(self):
        """Guards against ordinary requests that pay for a crowd."""
        ordinary, small, large, larger = self.connect(4)
        ordinary.hold(SMALL_BYTES, SMALL_BYTES)
        small.hold(3 * LARGE_BYTES, 3 * LARGE_BYTES)
        larger.hold(4 * LARGE_BYTES, 4 * LARGE_BYTES)
        large.hold(3 * LARGE_BYTES, 3 * LARGE_BYTES)
        given_up = [c.given_up for c in (ordinary, small, large, larger)]
        self.assertEqual(given_up, [0, 0, 0, 1])

    def test_large_requests_leave_room_for_small_ones(self):
        """Guards against served requests that fill the whole budget."""
        for connection in self.connect(2):
            connection.hold(4 * LARGE_BYTES, 0)
        self.assertFalse(connection.account.begin_serving())
        (ordinary,) = self.connect(1)
        ordinary.hold(SMALL_BYTES, 0)
        self.assertTrue(ordinary.account.begin_serving())

    def test_the_only_large_request_is_served(self):
        """Guards against a legal request that a small budget refuses."""
        ordinary, large = self.connect(2)
        ordinary.hold(SMALL_BYTES, SMALL_BYTES)
        large.hold(2 * MEMORY_BYTES, 2 * MEMORY_BYTES)
        self.assertTrue(large.account.begin_serving())
        self.assertEqual(large.given_up, 0)

    def test_the_oldest_unserved_connection_is_closed(self):
        """Guards against connections that take every descriptor."""
        connections = self.connect(8)
        connections[0].account.touch()
        (newest,) = self.connect(1)
        self.assertIsNotNone(newest.account)
        closed = [n for n, c in enumerate(connections) if c.is_closed]
        self.assertEqual(closed, [1])

    def test_a_served_request_takes_a_second_descriptor(self):
        """Guards against connections to replicas that find no descriptor."""
        connections = self.connect(8)
        self.assertTrue(connections[7].account.begin_serving())
        self.assertEqual(sum(c.is_closed for c in connections), 1)

    def test_a_blocked_response_gives_way(self):
        """Guards against callers that read nothing and stay connected."""
        connections = self.connect(4)
        for connection in connections:
            self.assertTrue(connection.account.begin_serving())
        self.assertIsNone(self.budget.open(connections[0]))
        connections[2].account.is_blocked = True
        self.assertIsNotNone(self.budget.open(connections[0]))
        self.assertTrue(connections[2].is_closed)

    def check_room(self, budget, connection, connections):
        """Checks that what could give way for a connection has done so."""
        unserved = [c for c in connections if c.account.unserved_bytes]
        if connection.account.is_small:
            limit = MEMORY_BYTES
        else:
            limit = 0.75 * MEMORY_BYTES
            unserved = [c for c in unserved if not c.account.is_small]
        if budget.large > 1 or connection.account.is_small:
            self.assertTrue(budget.held_bytes <= limit or not unserved)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 5),
                st.sampled_from(("hold", "serve", "end", "close")),
                st.integers(0, 2 * MEMORY_BYTES),
                st.floats(0, 1),
            ),
            max_size=60,
        )
    )
    def test_sums_follow_the_connections(self, steps):
        """Guards against an account that is not given back."""
        budget = ConnectionBudget(LIMITS)
        connections = [Connection(budget) for _ in range(3)]
        for index, step, size, share in steps:
            connection = connections[index % 3]
            if connection.is_closed:
                connection = connections[index % 3] = Connection(budget)
            if step == "hold":
                is_growing = size > connection.account.held_bytes
                connection.hold(size, int(size * share))
                if is_growing:
                    self.check_room(budget, connection, connections)
            elif step == "serve":
                connection.account.begin_serving()
            elif step == "end":
                connection.account.end_serving()
            else:
                connection.close_unserved()
            accounts = [c.account for c in connections]
            self.assertEqual(
                budget.held_bytes, sum(a.held_bytes for a in accounts)
            )
            self.assertEqual(
                budget.serving, sum(a.is_serving for a in accounts)
            )
        for connection in connections:
            connection.account.close()
        state = (budget.held_bytes, budget.serving, budget.connections)
        self.assertEqual(state, (0, 0, 0))


class LimitsOfHostTest(unittest.TestCase):
    def test_callers_get_a_part_of_the_host(self):
        """Guards against limits that leave the process itself no room."""
        limits = limits_of_host(128, 4100)
        self.assertEqual(limits, BudgetLimits(32_000_000, 3413))


if __name__ == "__main__":
    unittest.main()
