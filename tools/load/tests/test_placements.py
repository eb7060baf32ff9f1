"""Load tests of placement by hundreds of hosts.

Pattern: programs of some turns at 70% and 85% of all slots; each turn arrives
at another of 171 or 340 hosts, so that a host sees a replica's load once in
many seconds.
"""

import unittest

from masticdale_load.placements import (
    PlacementPolicy,
    PlacementScenario,
    simulate_placement,
)


def simulate(policy, hosts, load, **changes):
    return simulate_placement(
        PlacementScenario(policy, hosts, load, duration_s=10.0, **changes)
    )


class ManyHostsTest(unittest.TestCase):
    def test_turns_seldom_wait_for_a_slot(self):
        """Guards against turns at full replicas while others have free slots.

        The aim is a share of 0.5% of turns that wait over 0.2 s at 70% load,
        and of 2% at 85%.
        """
        for hosts in (171, 340):
            for load, most in ((0.7, 0.005), (0.85, 0.02)):
                with self.subTest(hosts=hosts, load=load):
                    result = simulate(PlacementPolicy.OWNER, hosts, load)
                    self.assertLessEqual(result.long_wait_share, most)

    def test_programs_move_no_more_than_without_assignments(self):
        """Guards against even load at the price of cached prefixes."""
        for load in (0.7, 0.85):
            with self.subTest(load=load):
                assigned = simulate(PlacementPolicy.OWNER, 171, load)
                alone = simulate(PlacementPolicy.HOST, 171, load)
                self.assertLessEqual(assigned.moved_share, alone.moved_share)

    def test_shared_parts_of_prompts_are_read_less_often(self):
        """Guards against each replica reading the parts of all subjects."""
        assigned = simulate(PlacementPolicy.OWNER, 171, 0.5)
        alone = simulate(PlacementPolicy.HOST, 171, 0.5)
        self.assertLess(assigned.reread_share, alone.reread_share)

    def test_slow_replicas_get_fewer_turns(self):
        """Guards against queues at replicas that take twice as long."""
        result = simulate(PlacementPolicy.OWNER, 171, 0.7, slow_share=0.25)
        self.assertLessEqual(result.long_wait_share, 0.02)

    def test_programs_run_at_fast_replicas_while_these_have_slots(self):
        """Guards against programs late because of a slow replica alone.

        At half load, three quarters of the replicas could run all turns; the
        even share of the slow ones would be a quarter.
        """
        result = simulate(PlacementPolicy.OWNER, 171, 0.5, slow_share=0.25)
        self.assertLessEqual(result.slow_share, 0.05)

    def test_a_replica_that_fails_fast_attracts_no_turns(self):
        """Guards against a failing replica that looks idle to its owners.

        One of 32 replicas may get at most its even share of the attempts.
        """
        result = simulate(PlacementPolicy.OWNER, 171, 0.7, failing=1)
        self.assertLessEqual(result.failed_share, 1 / 32)


if __name__ == "__main__":
    unittest.main()
