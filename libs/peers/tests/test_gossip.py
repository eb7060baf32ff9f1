"""Tests of the gossip between hosts."""

import unittest

import hypothesis
from hypothesis import strategies as st

from masticdale_peers import PeerNews
from masticdale_peers.gossip import GossipState, merge, with_accusers

UPDATES_PER_MESSAGE = 4
UPDATES = st.builds(
    lambda version, accusers: with_accusers(
        PeerNews("x", "1", version=version), sorted(accusers)
    ),
    st.integers(0, 2),
    st.sets(st.sampled_from("ab"), max_size=2),
)


def state_with(count):
    state = GossipState(UPDATES_PER_MESSAGE)
    state.add_neighbour("n", "1")
    for number in range(count):
        state.merge(PeerNews(f"h{number}", "1"))
    return state


def dequeue_hosts(state, messages):
    return [n.host for _ in range(messages) for n in state.dequeue("n")]


class MergeTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.lists(UPDATES, min_size=1, max_size=6), st.randoms())
    def test_order_of_arrival_does_not_matter(self, updates, shuffler):
        def merged(order):
            known = None
            for update in order:
                known = merge(known, update)
            return known

        shuffled = list(updates)
        shuffler.shuffle(shuffled)
        self.assertEqual(merged(updates), merged(shuffled))

    def test_a_higher_version_refutes_a_suspicion(self):
        suspicion = with_accusers(PeerNews("x", "1", version=3), ["a"])
        refutation = PeerNews("x", "1", version=4)
        self.assertEqual(merge(suspicion, refutation), refutation)
        self.assertEqual(merge(refutation, suspicion), refutation)


class GossipStateTest(unittest.TestCase):
    def test_each_update_is_sent_once_in_bounded_messages(self):
        state = state_with(6)
        self.assertEqual([len(state.dequeue("n")) for _ in range(2)], [4, 2])

    def test_suspicions_are_sent_before_revision_changes(self):
        # A new revision causes one update per host at the same time. They
        # must not delay the detection of a failed host.
        state = state_with(6)
        dequeue_hosts(state, 2)
        for number in range(6):
            update = PeerNews(f"h{number}", "1", revision=2, version=1)
            state.merge(update)
        state.merge(
            with_accusers(PeerNews("h5", "1", revision=2, version=1), ["a"])
        )
        self.assertEqual(dequeue_hosts(state, 1)[0], "h5")

    def test_updates_of_a_lost_heartbeat_are_resent(self):
        state = state_with(6)
        state.requeue("n", state.dequeue("n"))
        self.assertEqual(
            sorted(dequeue_hosts(state, 2)), [f"h{i}" for i in range(6)]
        )

    def test_updates_of_a_lost_reply_are_resent_eventually(self):
        state = state_with(6)
        dequeue_hosts(state, 2)
        self.assertEqual(
            sorted(dequeue_hosts(state, 24)), [f"h{i}" for i in range(6)]
        )

    def test_a_restarted_neighbour_gets_all_updates(self):
        state = state_with(3)
        dequeue_hosts(state, 1)
        state.add_neighbour("n", "2")
        self.assertEqual(sorted(dequeue_hosts(state, 1)), ["h0", "h1", "h2"])


if __name__ == "__main__":
    unittest.main()
