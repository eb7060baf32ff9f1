"""Carries out a plan's steps on a running world."""

import asyncio
import dataclasses
import signal
import time
from collections.abc import Awaitable

from masticdale_soak.environment import Drain, Replica, World
from masticdale_soak.fault_stack import Layers, ValueT
from masticdale_soak.plans import Fault, Plan, Step, Target, target_of
from masticdale_soak.processes import HostProcess
from masticdale_soak.proxies import LinkFault, LinkState
from masticdale_standins.objects import StoreFault
from masticdale_standins.replicas import ReplicaFault

# Extra time on a slow link, and for each answer of a slow store, in seconds:
# fifty times the usual round trip of a few milliseconds.
_SLOW_S = 0.25
_LOST_ANSWERS = 5
# The store keeps the entry of a replica that has crashed for this long, in
# seconds.
_ENTRY_LAPSES_S = 1.5

_STORE_FAULTS = {
    Fault.STORE_BUSY: StoreFault.BUSY,
    Fault.STORE_SILENT: StoreFault.UNRESPONSIVE,
    Fault.STORE_RESET: StoreFault.RESET,
}
_REPLICA_FAULTS = {
    Fault.REPLICA_SILENT: ReplicaFault.UNRESPONSIVE,
    Fault.REPLICA_RESETS: ReplicaFault.RESET,
    Fault.REPLICA_FULL: ReplicaFault.OVERLOADED,
    Fault.REPLICA_FAILS: ReplicaFault.SERVER_ERROR,
    Fault.REPLICA_CUTS: ReplicaFault.TRUNCATED,
    Fault.REPLICA_GARBLES: ReplicaFault.MALFORMED,
    Fault.REPLICA_CROSSES: ReplicaFault.WRONG_REQUEST,
}
_LINK_FAULTS = {
    Fault.STORE_LINK_SILENT: LinkFault.PARTITION,
    Fault.STORE_LINK_ONE_WAY: LinkFault.RESPONSES_BLOCKED,
    Fault.PEERS_LINK_SILENT: LinkFault.PARTITION,
    Fault.PEERS_LINK_ONE_WAY: LinkFault.REQUESTS_BLOCKED,
    Fault.PEERS_LINK_SLOW: LinkFault.DELAY,
    Fault.REPLICA_LINK_SLOW: LinkFault.DELAY,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A step as it was carried out.

    Attributes:
        fault: What happened.
        place: Name of the host, replica, or what else it struck.
        began: Monotonic seconds.
        ended: Monotonic seconds when everything was sound again.
    """

    fault: Fault
    place: str
    began: float
    ended: float


class FaultDriver:
    """Carries out the steps, each at its time.

    Attributes:
        applied: What was done so far.
    """

    def __init__(self, world: World) -> None:
        self.applied: list[Applied] = []
        self._world = world
        self._processes_in_use: set[str] = set()

    async def run(self, plan: Plan) -> None:
        """Carries out a plan; returns once everything is sound again."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for step in plan.steps:
                group.create_task(self._at(began + step.at_s, step))

    async def _at(self, at: float, step: Step) -> None:
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        place, work = self._work(step)
        began = time.monotonic()
        await work
        self.applied.append(Applied(step.fault, place, began, time.monotonic()))

    def _work(self, step: Step) -> tuple[str, Awaitable[None]]:
        """Returns the place that a step strikes, and how."""
        target = target_of(step.fault)
        if target is Target.HOST:
            host = self._world.hosts[step.place % len(self._world.hosts)]
            return host.name, self._strike_host(step, host)
        if target is Target.REPLICA:
            replicas = self._world.replicas
            replica = replicas[step.place % len(replicas)]
            return replica.stand_in.id, self._strike_replica(step, replica)
        if target is Target.ALL_HOSTS:
            return target.value, self._strike_all_hosts(step)
        if target is Target.STORE:
            return target.value, self._strike_store(step)
        return target.value, self._change_configuration()

    async def _strike_host(self, step: Step, host: HostProcess) -> None:
        fault = step.fault
        if fault in (Fault.KILL, Fault.STOP, Fault.PAUSE):
            await self._strike_process(step, host)
        elif fault is Fault.HANG_UP:
            host.send(signal.SIGHUP)
        elif fault is Fault.STORE_LINK_RESET:
            host.store_link.reset()
        elif fault is Fault.PEERS_LINK_RESET:
            host.peers_link.reset()
        else:
            is_store = fault.value.startswith("store_link")
            faults = host.store_faults if is_store else host.peers_faults
            link = LinkState(_LINK_FAULTS[fault], _SLOW_S)
            await _last(faults, link, step.for_s)

    async def _strike_process(self, step: Step, host: HostProcess) -> None:
        # Two hands on one process would each wait for an end that the other
        # one has seen, and start it twice.
        if host.name in self._processes_in_use:
            return
        self._processes_in_use.add(host.name)
        try:
            if step.fault is Fault.PAUSE:
                host.send(signal.SIGSTOP)
                await asyncio.sleep(step.for_s)
                host.send(signal.SIGCONT)
                return
            if step.fault is Fault.KILL:
                await host.kill()
                await asyncio.sleep(step.for_s)
            else:
                await host.stop()
            host.start()
            await host.wait_ready()
        finally:
            self._processes_in_use.discard(host.name)

    async def _strike_all_hosts(self, step: Step) -> None:
        single = Fault.KILL if step.fault is Fault.KILL_ALL else Fault.STOP
        at_each = dataclasses.replace(step, fault=single)
        if step.fault is Fault.KILL_ALL:
            await asyncio.gather(
                *(self._strike_process(at_each, h) for h in self._world.hosts)
            )
            return
        for host in self._world.hosts:
            await self._strike_process(at_each, host)

    async def _strike_store(self, step: Step) -> None:
        world = self._world
        if step.fault is Fault.STORE_LOSES_ANSWERS:
            world.store.faults.responses_to_lose = _LOST_ANSWERS
            await asyncio.sleep(step.for_s)
            world.store.faults.responses_to_lose = 0
        elif step.fault is Fault.STORE_FORGETS:
            world.store.compact_history()
        elif step.fault is Fault.STORE_SLOW:
            await _last(world.store_delays, _SLOW_S, step.for_s)
        else:
            fault = _STORE_FAULTS[step.fault]
            await _last(world.store_faults, fault, step.for_s)

    async def _strike_replica(self, step: Step, replica: Replica) -> None:
        if step.fault is Fault.REPLICA_CRASH:
            await replica.crash()
            await asyncio.sleep(min(step.for_s, _ENTRY_LAPSES_S))
            replica.remove_entry()
            await asyncio.sleep(max(0.0, step.for_s - _ENTRY_LAPSES_S))
            await replica.start()
        elif step.fault is Fault.REPLICA_DRAINS:
            replica.write_entry("draining")
            drain = Drain(replica.stand_in.id, time.monotonic(), 0.0)
            await asyncio.sleep(step.for_s)
            drain.ended = time.monotonic()
            self._world.drains.append(drain)
            replica.write_entry("ready")
        elif step.fault is Fault.REPLICA_LINK_SLOW:
            link = LinkState(LinkFault.DELAY, _SLOW_S)
            await _last(replica.link_faults, link, step.for_s)
        else:
            fault = _REPLICA_FAULTS[step.fault]
            await _last(replica.faults, fault, step.for_s)

    async def _change_configuration(self) -> None:
        self._world.change_configuration()


async def _last(layers: Layers[ValueT], value: ValueT, for_s: float) -> None:
    layers.begin(value)
    try:
        await asyncio.sleep(for_s)
    finally:
        layers.end(value)
