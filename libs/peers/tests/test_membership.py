"""Tests of membership on the in-memory network with a hand-moved clock."""

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
    """Hosts that beat in lockstep, one period a step."""

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

    def expected(self, name):
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
    async def test_killed_host_goes_within_its_lease(self):
        cluster = Cluster()
        await cluster.step()
        self.assertEqual(cluster.view("a"), NAMES)
        cluster.kill("b")
        await cluster.step(PERIODS_TO_CONVERGE)
        self.assertEqual(cluster.view("a"), ("a", "c", "d"))

    async def test_one_way_cut_removes_the_peer_on_one_side_only(self):
        # a's calls to b are lost, b's to a arrive. a must not route to b
        # although it hears from it: the calls would be lost. b may go on.
        cluster = Cluster()
        await cluster.step()
        cluster.cut(("a", "b"))
        await cluster.step(PERIODS_TO_CONVERGE)
        self.assertNotIn("b", cluster.view("a"))
        self.assertIn("a", cluster.view("b"))

    async def test_leaving_host_gets_no_keys_but_stays_callable(self):
        cluster = Cluster()
        cluster.leaving.add("b")
        await cluster.step()
        membership = cluster.membership_by_host["a"]
        self.assertIn("b", membership.live_names())
        owners = {membership.owner_of(str(i)) for i in range(200)}
        self.assertEqual(owners, {"a", "c", "d"})

    async def test_list_only_takes_hosts_away(self):
        # The platform's list lags: it does not show d yet, which is live.
        # c stood on it and is gone: it is removed though it still answers.
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

    async def test_restart_is_told(self):
        cluster = Cluster()
        await cluster.step()
        changes = []
        cluster.membership_by_host["a"].subscribe(changes.append)
        cluster.start("b")
        await cluster.step()
        self.assertEqual([c.restarted for c in changes], [("b",)])

    async def test_pause_past_the_lease_is_told_and_keeps_the_peers(self):
        # The process is stopped for a minute and goes on. Its leases look
        # expired; taken so, it would own every shard at once. It is told of
        # the pause instead and keeps its peers until they fail to answer.
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

    async def test_a_host_of_new_settings_joins(self):
        # A fifth host starts; its settings name the others. They learn its
        # name from its heartbeats and show it to the operator, but have no
        # address to call until the new settings reach them. Nothing waits.
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
        # Links and hosts fail and return in any order. Once they stop, each
        # host's view is what it can reach, within a lease and two periods.
        cluster = Cluster()
        for action, origin, target, periods in faults:
            if action in ("kill", "start"):
                getattr(cluster, action)(origin)
            elif origin != target:
                getattr(cluster, action)((origin, target))
            await cluster.step(periods)
        await cluster.step(PERIODS_TO_CONVERGE)
        for name in cluster.membership_by_host:
            self.assertEqual(cluster.view(name), cluster.expected(name))


MANY_NAMES = tuple(f"h{number:02}" for number in range(24))
SPARSE_LIMITS = MembershipLimits(fan_out=4)
# A lease until a neighbour notices, the time to refute, and the spread; all
# once more where the neighbours of a host died with it.
SPARSE_PERIODS = 30

FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["cut", "heal", "kill", "start"]),
        st.sampled_from(MANY_NAMES),
        st.sampled_from(MANY_NAMES),
        st.integers(0, 6),
    ),
    max_size=12,
)


class SparseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The loop's debug mode takes half of the time here.
        asyncio.get_running_loop().set_debug(False)

    def cluster(self):
        return Cluster(MANY_NAMES, SPARSE_LIMITS)

    async def test_each_host_calls_few_and_knows_all(self):
        cluster = self.cluster()
        await cluster.step(SPARSE_PERIODS)
        for name, membership in cluster.membership_by_host.items():
            self.assertEqual(cluster.view(name), MANY_NAMES)
            self.assertEqual(len(membership.neighbour_names()), 4)

    async def test_half_of_the_hosts_die_together(self):
        # A failure domain goes down, and with it all that watch some of its
        # hosts. Their nearest live predecessors take over the watch.
        cluster = self.cluster()
        await cluster.step(SPARSE_PERIODS)
        for name in MANY_NAMES[::2]:
            cluster.kill(name)
        await cluster.step(SPARSE_PERIODS)
        for name in MANY_NAMES[1::2]:
            self.assertEqual(cluster.view(name), MANY_NAMES[1::2])

    async def test_accused_but_reachable_host_stays(self):
        # Two of the hosts that watch a host lose their way to it and accuse
        # it, again and again. The others reach it; it refutes each time, so
        # that no host without a cut ever takes it for dead.
        cluster = self.cluster()
        await cluster.step(SPARSE_PERIODS)
        watchers = [
            name
            for name, membership in cluster.membership_by_host.items()
            if "h05" in membership.neighbour_names()
        ]
        for watcher in watchers[:2]:
            cluster.cut((watcher, "h05"))
        others = set(MANY_NAMES) - set(watchers[:2])
        for _ in range(2 * SPARSE_PERIODS):
            await cluster.step()
            for name in others:
                self.assertIn("h05", cluster.view(name))

    async def test_a_new_process_never_sees_the_dead(self):
        # A host starts after another has died. Its peers tell it of the dead
        # host together with the accusations: it must not take that host for
        # live until they run out, and send it programs.
        cluster = self.cluster()
        await cluster.step(SPARSE_PERIODS)
        cluster.kill("h05")
        await cluster.step(SPARSE_PERIODS)
        cluster.start("h11")
        for _ in range(SPARSE_PERIODS):
            await cluster.step()
            self.assertNotIn("h05", cluster.view("h11"))

    async def test_absent_hosts_of_the_settings_change_nothing(self):
        # The settings name as many hosts again that are not there yet. The
        # others find each other in the same time and call few of them.
        cluster = self.cluster()
        absent = MANY_NAMES[::2]
        for name in absent:
            cluster.kill(name)
        await cluster.step(SPARSE_PERIODS)
        for name, membership in cluster.membership_by_host.items():
            self.assertEqual(cluster.view(name), MANY_NAMES[1::2])
            self.assertLess(len(membership.neighbour_names()), len(absent))

    async def test_news_tell_revisions_and_leaving(self):
        cluster = self.cluster()
        await cluster.step(SPARSE_PERIODS)
        cluster.leaving.add("h07")
        cluster.revision = 9
        await cluster.step(SPARSE_PERIODS)
        for membership in cluster.membership_by_host.values():
            self.assertNotIn("h07", membership.owner_names())
            revisions = {m.heartbeat.revision for m in membership.members()}
            self.assertEqual(revisions, {9})


class SparseConvergenceTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=15)
    @hypothesis.given(FAULTS)
    def test_views_converge_after_any_faults(self, faults):
        asyncio.run(self.converge(faults))

    async def converge(self, faults):
        # Hosts die and return and links are cut and heal in any order. Some
        # periods later the dead are gone from every view, and every host
        # without a cut is in all of them; once all cuts heal, every view is
        # the set of the living.
        cluster = Cluster(MANY_NAMES, SPARSE_LIMITS)
        for action, origin, target, periods in faults:
            if action in ("kill", "start"):
                getattr(cluster, action)(origin)
            elif origin != target:
                getattr(cluster, action)((origin, target))
            await cluster.step(periods)
        await cluster.step(SPARSE_PERIODS)
        living = set(cluster.membership_by_host)
        uncut = living - {name for link in cluster.cuts for name in link}
        for name in living:
            self.assertLessEqual(set(cluster.view(name)), living)
            self.assertLessEqual(uncut, set(cluster.view(name)))
        for link in list(cluster.cuts):
            cluster.heal(link)
        await cluster.step(SPARSE_PERIODS)
        for name in living:
            self.assertEqual(set(cluster.view(name)), living)


if __name__ == "__main__":
    unittest.main()
