"""Tests of membership on the in-memory network with a manual clock."""

import asyncio
import types
import unittest

import hypothesis
from hypothesis import strategies as st

from masticdale_common import TimerService
from masticdale_peers import Heartbeat, MembershipLimits, join
from masticdale_peers.testing import MemoryNetwork

NAMES = ("a", "b", "c", "d")
LIMITS = MembershipLimits()
PERIODS_TO_CONVERGE = int(LIMITS.lease_s / LIMITS.period_s) + 2


class Cluster:
    """Hosts that send heartbeats in lockstep, one period per step."""

    def __init__(self, names=NAMES, limits=LIMITS):
        self.limits = limits
        self.now = 1000.0
        self.network = MemoryNetwork()
        self.membership_by_host = {}
        self.incarnation_by_host = {}
        self.leaving = set()
        self.revision = 0
        self.cuts = set()
        self.names = names
        for name in names:
            self.start(name)

    def start(self, name):
        self.incarnation_by_host.setdefault(name, 0)
        self.incarnation_by_host[name] += 1
        incarnation = f"{self.incarnation_by_host[name]:04}"
        membership = join(
            lambda: Heartbeat(
                name,
                "d",
                incarnation,
                revision=self.revision,
                leaving=name in self.leaving,
            ),
            self.names,
            self.network.peers(name),
            TimerService(),
            self.limits,
            lambda: self.now,
        )

        async def heartbeat(beat):
            return membership.receive_heartbeat(beat)

        self.membership_by_host[name] = membership
        self.network.attach(name, types.SimpleNamespace(heartbeat=heartbeat))

    def kill(self, name):
        self.membership_by_host.pop(name, None)
        self.network.detach(name)

    def cut(self, link):
        self.cuts.add(link)
        self.network.cut(*link)

    def heal(self, link):
        self.cuts.discard(link)
        self.network.heal(*link)

    async def step(self, periods=1):
        for _ in range(periods):
            self.now += LIMITS.period_s
            for membership in list(self.membership_by_host.values()):
                for peer in membership.neighbour_names():
                    await membership.send_heartbeat(peer)
                await membership.tick()

    def reachable_hosts(self, name):
        return tuple(
            peer
            for peer in self.names
            if peer == name
            or (
                peer in self.membership_by_host
                and (name, peer) not in self.cuts
            )
        )

    def view(self, name):
        return self.membership_by_host[name].live_names()


class ViewsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_killed_host_is_removed_after_its_lease(self):
        cluster = Cluster()
        await cluster.step()
        self.assertEqual(cluster.view("a"), NAMES)
        cluster.kill("b")
        await cluster.step(PERIODS_TO_CONVERGE)
        self.assertEqual(cluster.view("a"), ("a", "c", "d"))

    async def test_a_one_way_cut_removes_the_peer_on_one_side_only(self):
        # Calls from a to b are lost, calls from b to a arrive. a must not
        # route to b although it receives b's heartbeats.
        cluster = Cluster()
        await cluster.step()
        cluster.cut(("a", "b"))
        await cluster.step(PERIODS_TO_CONVERGE)
        self.assertNotIn("b", cluster.view("a"))
        self.assertIn("a", cluster.view("b"))

    async def test_a_leaving_host_owns_no_keys_but_stays_a_member(self):
        cluster = Cluster()
        cluster.leaving.add("b")
        await cluster.step()
        membership = cluster.membership_by_host["a"]
        self.assertIn("b", membership.live_names())
        owners = {membership.owner_of(str(i)) for i in range(200)}
        self.assertEqual(owners, {"a", "c", "d"})

    async def test_the_platform_list_only_removes_hosts(self):
        # d is live but not on the list yet and stays a member. c was on the
        # list and no longer is: it is removed although it still answers.
        cluster = Cluster()
        await cluster.step()
        membership = cluster.membership_by_host["a"]

        def listed(name, leaving=False):
            return types.SimpleNamespace(name=name, leaving=leaving)

        membership.set_listed([listed("b"), listed("c")])
        self.assertEqual(membership.live_names(), NAMES)
        membership.set_listed([listed("b", leaving=True)])
        self.assertEqual(membership.live_names(), ("a", "b", "d"))
        self.assertEqual(membership.owner_names(), ("a", "d"))

    async def test_a_restart_is_reported(self):
        cluster = Cluster()
        await cluster.step()
        changes = []
        cluster.membership_by_host["a"].subscribe(changes.append)
        cluster.start("b")
        await cluster.step()
        self.assertEqual([c.restarted for c in changes], [("b",)])

    async def test_a_pause_beyond_the_lease_is_reported_and_keeps_the_peers(
        self,
    ):
        # After a pause all leases look expired, and the host would consider
        # itself the owner of every shard. It must keep its peers until they
        # fail to answer, and report the pause once.
        cluster = Cluster()
        await cluster.step()
        pauses = []

        async def on_paused(seconds):
            pauses.append(seconds)

        membership = cluster.membership_by_host["a"]
        membership.subscribe_pause(on_paused)
        cluster.now += 60.0
        self.assertEqual(membership.live_names(), NAMES)
        await membership.tick()
        await membership.tick()
        self.assertEqual(pauses, [60.0])

    async def test_a_host_joins_when_the_settings_name_it(self):
        # The settings of a new host name the others, but theirs do not name
        # it yet. They list it as unknown, and it becomes a member once their
        # settings change.
        cluster = Cluster()
        await cluster.step()
        cluster.names = (*NAMES, "e")
        cluster.start("e")
        await cluster.step(2)
        membership = cluster.membership_by_host["a"]
        self.assertEqual(cluster.view("e"), (*NAMES, "e"))
        self.assertEqual(cluster.view("a"), NAMES)
        self.assertEqual(membership.state()["unknown_hosts"], ["e"])
        membership.set_peers(cluster.names)
        await cluster.step()
        self.assertEqual(cluster.view("a"), (*NAMES, "e"))
        membership.set_peers(NAMES[:3])
        await cluster.step()
        self.assertEqual(cluster.view("a"), NAMES[:3])


class ConvergenceTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["cut", "heal", "kill", "start"]),
                st.sampled_from(NAMES),
                st.sampled_from(NAMES),
                st.integers(0, 3),
            ),
            max_size=20,
        )
    )
    def test_views_converge_after_any_faults(self, faults):
        asyncio.run(self.converge(faults))

    async def converge(self, faults):
        # Links and hosts fail and recover in any order. Within a lease and
        # two periods after the last fault, each host's view consists of the
        # hosts it can reach.
        cluster = Cluster()
        for action, origin, target, periods in faults:
            if action in ("kill", "start"):
                getattr(cluster, action)(origin)
            elif origin != target:
                getattr(cluster, action)((origin, target))
            await cluster.step(periods)
        await cluster.step(PERIODS_TO_CONVERGE)
        for name in cluster.membership_by_host:
            self.assertEqual(cluster.view(name), cluster.reachable_hosts(name))


MANY_NAMES = tuple(f"h{number:02}" for number in range(24))
GOSSIP_LIMITS = MembershipLimits(fan_out=4)
# The lease, the suspicion timeout and the spread of the update, twice: the
# neighbours of a host may fail together with it.
GOSSIP_PERIODS = 30

FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["cut", "heal", "kill", "start"]),
        st.sampled_from(MANY_NAMES),
        st.sampled_from(MANY_NAMES),
        st.integers(0, 6),
    ),
    max_size=12,
)


class GossipTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The event loop's debug mode doubles the duration of these tests.
        asyncio.get_running_loop().set_debug(False)

    def cluster(self):
        return Cluster(MANY_NAMES, GOSSIP_LIMITS)

    async def test_each_host_calls_its_fan_out_and_sees_all(self):
        cluster = self.cluster()
        await cluster.step(GOSSIP_PERIODS)
        for name, membership in cluster.membership_by_host.items():
            self.assertEqual(cluster.view(name), MANY_NAMES)
            self.assertEqual(len(membership.neighbour_names()), 4)

    async def test_half_of_the_hosts_fail_together(self):
        # A failure domain fails, and with it all monitors of some hosts. The
        # nearest live predecessors must take over and detect those hosts.
        cluster = self.cluster()
        await cluster.step(GOSSIP_PERIODS)
        for name in MANY_NAMES[::2]:
            cluster.kill(name)
        await cluster.step(GOSSIP_PERIODS)
        for name in MANY_NAMES[1::2]:
            self.assertEqual(cluster.view(name), MANY_NAMES[1::2])

    async def test_a_suspected_but_reachable_host_stays(self):
        # Two monitors of a host lose their links to it and suspect it
        # repeatedly. It refutes each suspicion in time, so that no other host
        # ever removes it.
        cluster = self.cluster()
        await cluster.step(GOSSIP_PERIODS)
        monitors = [
            name
            for name, membership in cluster.membership_by_host.items()
            if "h05" in membership.neighbour_names()
        ]
        for monitor in monitors[:2]:
            cluster.cut((monitor, "h05"))
        others = set(MANY_NAMES) - set(monitors[:2])
        for _ in range(2 * GOSSIP_PERIODS):
            await cluster.step()
            for name in others:
                self.assertIn("h05", cluster.view(name))

    async def test_a_new_host_never_counts_dead_hosts_as_live(self):
        # A new host learns of a dead host together with the suspicions. It
        # must not count that host as live until the suspicion timeout, or it
        # would send programs there.
        cluster = self.cluster()
        await cluster.step(GOSSIP_PERIODS)
        cluster.kill("h05")
        await cluster.step(GOSSIP_PERIODS)
        cluster.start("h11")
        for _ in range(GOSSIP_PERIODS):
            await cluster.step()
            self.assertNotIn("h05", cluster.view("h11"))

    async def test_absent_hosts_do_not_slow_convergence(self):
        # Half of the hosts in the settings are absent. The others converge in
        # the same time and do not send heartbeats to all absent ones.
        cluster = self.cluster()
        absent = MANY_NAMES[::2]
        for name in absent:
            cluster.kill(name)
        await cluster.step(GOSSIP_PERIODS)
        for name, membership in cluster.membership_by_host.items():
            self.assertEqual(cluster.view(name), MANY_NAMES[1::2])
            self.assertLess(len(membership.neighbour_names()), len(absent))

    async def test_gossip_spreads_revisions_and_leaving(self):
        cluster = self.cluster()
        await cluster.step(GOSSIP_PERIODS)
        cluster.leaving.add("h07")
        cluster.revision = 9
        await cluster.step(GOSSIP_PERIODS)
        for membership in cluster.membership_by_host.values():
            self.assertNotIn("h07", membership.owner_names())
            revisions = {m.heartbeat.revision for m in membership.members()}
            self.assertEqual(revisions, {9})


class GossipConvergenceTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=15)
    @hypothesis.given(FAULTS)
    def test_views_converge_after_any_faults(self, faults):
        asyncio.run(self.converge(faults))

    async def converge(self, faults):
        # Hosts and links fail and recover in any order. Then no view contains
        # a dead host, and every view contains all live hosts whose links are
        # intact. Once all links are restored, every view is the live hosts.
        cluster = Cluster(MANY_NAMES, GOSSIP_LIMITS)
        for action, origin, target, periods in faults:
            if action in ("kill", "start"):
                getattr(cluster, action)(origin)
            elif origin != target:
                getattr(cluster, action)((origin, target))
            await cluster.step(periods)
        await cluster.step(GOSSIP_PERIODS)
        live = set(cluster.membership_by_host)
        unaffected = live - {name for link in cluster.cuts for name in link}
        for name in live:
            self.assertLessEqual(set(cluster.view(name)), live)
            self.assertLessEqual(unaffected, set(cluster.view(name)))
        for link in list(cluster.cuts):
            cluster.heal(link)
        await cluster.step(GOSSIP_PERIODS)
        for name in live:
            self.assertEqual(set(cluster.view(name)), live)


if __name__ == "__main__":
    unittest.main()
