"""No acknowledged turn is lost or shown as absent, in any order of events."""

import asyncio
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from simulation import Cluster, Write

from masticdale_history.records import Chain

MAX_HOSTS = 6

HOST = st.integers(0, MAX_HOSTS - 1)
WRITE = st.one_of(
    st.tuples(
        st.just("write"), st.integers(0, 3), st.frozensets(HOST, max_size=2)
    ),
    st.tuples(st.just("begin_write"), st.integers(0, 3), st.integers(1, 2)),
    st.tuples(st.just("end_write")),
)
FAULT = st.one_of(
    st.tuples(st.just("wipe"), HOST, st.booleans()),
    st.tuples(st.just("kill"), HOST),
    st.tuples(st.just("start"), HOST),
    st.tuples(st.just("cut"), HOST, HOST),
    st.tuples(st.just("heal")),
    st.tuples(st.just("retire"), HOST),
)
MEANWHILE = st.lists(st.one_of(WRITE, FAULT), max_size=2)
REPAIR = st.one_of(
    st.tuples(st.just("tick"), HOST, MEANWHILE),
    st.tuples(st.just("leave"), HOST, MEANWHILE),
    st.tuples(st.just("tick_all"), st.integers(1, 7)),
    st.tuples(st.just("wait"), st.sampled_from([0.3, 1.5, 3.5, 40.0])),
)
# Faults come together and are followed by repairs; with all actions mixed, few
# trials get to the end of a repair.
PHASE = st.tuples(
    st.lists(WRITE, max_size=2),
    st.lists(FAULT, max_size=4),
    st.lists(WRITE, max_size=1),
    st.lists(REPAIR, max_size=3),
).map(lambda parts: [action for part in parts for action in part])


class Trial:
    """Applies actions to a cluster as far as its fault budget allows."""

    def __init__(self, hosts, domains, tolerated):
        self.cluster = Cluster(hosts, domains, tolerated)
        self.chains = [Chain()]
        self.writes = []
        self.log = []

    async def run(self, actions):
        for action in actions:
            self.log.append(action)
            await self.apply(*action)
            lost, absent = self.cluster.check()
            assert not lost, f"lost {lost}"
            assert not absent, f"may be shown as absent: {absent}"

    async def apply(self, name, *arguments):
        await getattr(self, f"_{name}")(*arguments)

    def _host(self, index):
        hosts = list(self.cluster.host_by_name.values())
        return hosts[index % len(hosts)]

    async def _write(self, index, unreachable):
        names = {self._host(i).name for i in unreachable}
        chain = self.chains[index % len(self.chains)]
        self._keep(await self.cluster.write(chain, names))

    async def _begin_write(self, index, copies):
        chain = self.chains[index % len(self.chains)]
        write = Write(self.cluster, chain)
        await write.send(copies)
        self.writes.append(write)

    async def _end_write(self):
        if not self.writes:
            return
        write = self.writes.pop(0)
        await write.send(self.cluster.copies)
        self._keep(write.finish())

    def _keep(self, chain):
        if chain is not None:
            self.chains.append(chain)

    async def _wipe(self, index, starts):
        host = self._host(index)
        lost = self.cluster.lost_disks()
        if host.is_removed or (
            host not in lost and len(lost) >= self.cluster.tolerated
        ):
            return
        host.new_disk()
        # The time in which the process starts again.
        self.cluster.seconds += 0.3
        host.start()
        host.is_up = starts

    async def _kill(self, index):
        self._host(index).is_up = False

    async def _start(self, index):
        host = self._host(index)
        if not host.is_up and not host.is_removed:
            host.start()

    async def _cut(self, first, second):
        names = frozenset((self._host(first).name, self._host(second).name))
        self.cluster.cuts.add(names)

    async def _heal(self):
        self.cluster.cuts.clear()

    async def _retire(self, index):
        host = self._host(index)
        if host.is_up:
            await host.begin_retirement()

    async def _tick(self, index, meanwhile):
        self._interleave(meanwhile)
        await self._host(index).tick()
        self.cluster.pending_actions.clear()
        self.cluster.seconds += 0.3

    async def _leave(self, index, meanwhile):
        self._interleave(meanwhile)
        await self._host(index).try_to_leave()
        self.cluster.pending_actions.clear()
        self.cluster.seconds += 0.3

    async def _tick_all(self, count):
        for _ in range(count):
            for host in list(self.cluster.host_by_name.values()):
                await host.tick()
            self.cluster.seconds += 1.0

    async def _wait(self, seconds):
        self.cluster.seconds += seconds

    def _interleave(self, actions):
        self.cluster.pending_actions = [
            lambda action=action: self.apply(*action) for action in actions
        ]


class AnyOrderTest(unittest.TestCase):
    @settings(
        max_examples=1000,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(
        hosts=st.integers(4, MAX_HOSTS),
        domains=st.integers(1, 3),
        tolerated=st.integers(1, 2),
        phases=st.lists(PHASE, min_size=1, max_size=6),
    )
    def test_no_turn_is_lost_or_shown_as_absent(
        self, hosts, domains, tolerated, phases
    ):
        """Guards against copies that are counted where there are none."""
        actions = [action for phase in phases for action in phase]
        asyncio.run(Trial(hosts, domains, tolerated).run(actions))
