"""Tests of the news that hosts pass on of each other."""

import unittest

import hypothesis
from hypothesis import strategies as st

from masticdale_peers import PeerNews
from masticdale_peers.gossip import GossipState, merge, with_accusers

PER_MESSAGE = 4
ITEMS = st.builds(
    lambda version, accusers: with_accusers(
        PeerNews("x", "1", version=version), sorted(accusers)
    ),
    st.integers(0, 2),
    st.sets(st.sampled_from("ab"), max_size=2),
)


def board_with(count):
    board = GossipState(PER_MESSAGE)
    board.add_neighbour("n", "1")
    for number in range(count):
        board.merge(PeerNews(f"h{number}", "1"))
    return board


def told(board, messages):
    return [n.host for _ in range(messages) for n in board.dequeue("n")]


class MergeTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.lists(ITEMS, min_size=1, max_size=6), st.randoms())
    def test_order_of_arrival_does_not_matter(self, items, shuffler):
        def merged(order):
            known = None
            for item in order:
                known = merge(known, item)
            return known

        shuffled = list(items)
        shuffler.shuffle(shuffled)
        self.assertEqual(merged(items), merged(shuffled))

    def test_a_raised_version_refutes_the_accusation(self):
        accusation = with_accusers(PeerNews("x", "1", version=3), ["a"])
        answer = PeerNews("x", "1", version=4)
        self.assertEqual(merge(accusation, answer), answer)
        self.assertEqual(merge(answer, accusation), answer)


class BoardTest(unittest.TestCase):
    def test_each_neighbour_hears_each_news_once_and_few_at_a_time(self):
        board = board_with(6)
        self.assertEqual([len(board.dequeue("n")) for _ in range(2)], [4, 2])

    def test_accusations_overtake_changes_of_revision(self):
        # A new revision takes hold on every host at once. A death among the
        # hundreds of news of that must not wait for its turn.
        board = board_with(6)
        told(board, 2)
        for number in range(6):
            item = PeerNews(f"h{number}", "1", revision=2, version=1)
            board.merge(item)
        board.merge(
            with_accusers(PeerNews("h5", "1", revision=2, version=1), ["a"])
        )
        self.assertEqual(told(board, 1)[0], "h5")

    def test_news_of_a_lost_heartbeat_are_told_again(self):
        board = board_with(6)
        board.requeue("n", board.dequeue("n"))
        self.assertEqual(sorted(told(board, 2)), [f"h{i}" for i in range(6)])

    def test_news_of_a_lost_reply_come_round_again(self):
        board = board_with(6)
        told(board, 2)
        self.assertEqual(sorted(told(board, 24)), [f"h{i}" for i in range(6)])

    def test_a_neighbours_new_process_hears_everything(self):
        board = board_with(3)
        told(board, 1)
        board.add_neighbour("n", "2")
        self.assertEqual(sorted(told(board, 1)), ["h0", "h1", "h2"])


if __name__ == "__main__":
    unittest.main()
