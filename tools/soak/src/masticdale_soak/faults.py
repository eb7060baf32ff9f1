"""Injects the faults of a plan into a running environment."""

import asyncio
import dataclasses
import signal
import time
from collections.abc import Awaitable

from masticdale_soak.environment import Drain, Environment, Replica
from masticdale_soak.fault_stack import FaultStack, ValueT
from masticdale_soak.plans import Fault, Plan, Step, Target, target_of
from masticdale_soak.processes import HostProcess
from masticdale_soak.proxies import LinkFault, LinkState
from masticdale_standins.objects import StoreFault
from masticdale_standins.replicas import ReplicaFault

# Delay of each chunk on a slow link and of each response of a slow store, in
# seconds. A usual round trip takes a few milliseconds.
_ADDED_DELAY_S = 0.25
_RESPONSES_TO_LOSE = 5
# Longest time for which watches omit changes, in seconds.
_MAX_OMISSION_S = 1.0
# When an older entry of a draining replica arrives, and how long that replica
# drains, in seconds.
_LATE_WRITE_S = 1.0
_LATE_DRAIN_S = 4.0
# Seconds for which the store keeps the entry of a crashed replica.
_ENTRY_TTL_S = 1.5

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
    Fault.REPLICA_ENDLESS_VALUE: ReplicaFault.ENDLESS_VALUE,
    Fault.REPLICA_ENDLESS_FIELDS: ReplicaFault.ENDLESS_FIELDS,
    Fault.REPLICA_ENDLESS_INTERIM: ReplicaFault.ENDLESS_INTERIM,
    Fault.REPLICA_ENDLESS_LATE: ReplicaFault.ENDLESS_LATE,
    Fault.REPLICA_ENDLESS_BODY: ReplicaFault.ENDLESS_BODY,
    Fault.REPLICA_ENDLESS_CHUNKS: ReplicaFault.ENDLESS_CHUNKS,
    Fault.REPLICA_ENDLESS_EXTENSION: ReplicaFault.ENDLESS_EXTENSION,
    Fault.REPLICA_ENDLESS_TRAILERS: ReplicaFault.ENDLESS_TRAILERS,
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
class ExecutedStep:
    """A fault that was injected.

    Attributes:
        fault: Kind of the fault.
        target_name: Host name, replica id, or value of the target.
        started_at: Monotonic time of the start.
        ended_at: Monotonic time when the fault was lifted.
    """

    fault: Fault
    target_name: str
    started_at: float
    ended_at: float


class FaultInjector:
    """Executes the steps of a plan on schedule.

    Attributes:
        executed_steps: Steps executed so far.
    """

    def __init__(self, environment: Environment) -> None:
        self.executed_steps: list[ExecutedStep] = []
        self._environment = environment
        self._processes_in_use: set[str] = set()

    async def run(self, plan: Plan) -> None:
        """Executes a plan; returns once every fault is lifted."""
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for step in plan.steps:
                group.create_task(
                    self._run_step(started_at + step.start_s, step)
                )

    async def _run_step(self, at: float, step: Step) -> None:
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        target_name, injection = self._resolve(step)
        started_at = time.monotonic()
        await injection
        self.executed_steps.append(
            ExecutedStep(step.fault, target_name, started_at, time.monotonic())
        )

    def _resolve(self, step: Step) -> tuple[str, Awaitable[None]]:
        """Returns the name of a step's target and the injection to await."""
        target = target_of(step.fault)
        if target is Target.HOST:
            host = self._environment.hosts[
                step.target_index % len(self._environment.hosts)
            ]
            return host.name, self._inject_host_fault(step, host)
        if target is Target.REPLICA:
            replicas = self._environment.replicas
            replica = replicas[step.target_index % len(replicas)]
            return replica.fake.id, self._inject_replica_fault(step, replica)
        if target is Target.ALL_HOSTS:
            return target.value, self._inject_fault_on_all_hosts(step)
        if target is Target.STORE:
            return target.value, self._inject_store_fault(step)
        if target is Target.WATCHES:
            return target.value, self._inject_watch_fault(step)
        return target.value, self._change_configuration()

    async def _inject_host_fault(self, step: Step, host: HostProcess) -> None:
        fault = step.fault
        if fault in (Fault.KILL, Fault.STOP, Fault.PAUSE):
            await self._inject_process_fault(step, host)
        elif fault is Fault.HANG_UP:
            host.send(signal.SIGHUP)
        elif fault is Fault.STORE_LINK_RESET:
            host.store_proxy.reset()
        elif fault is Fault.PEERS_LINK_RESET:
            host.peer_proxy.reset()
        else:
            is_store = fault.value.startswith("store_link")
            faults = (
                host.store_link_faults if is_store else host.peer_link_faults
            )
            state = LinkState(_LINK_FAULTS[fault], _ADDED_DELAY_S)
            await _apply_for(faults, state, step.duration_s)

    async def _inject_process_fault(
        self, step: Step, host: HostProcess
    ) -> None:
        # Two concurrent faults on one process would both wait for its exit and
        # then start it twice.
        if host.name in self._processes_in_use:
            return
        self._processes_in_use.add(host.name)
        try:
            if step.fault is Fault.PAUSE:
                host.send(signal.SIGSTOP)
                await asyncio.sleep(step.duration_s)
                host.send(signal.SIGCONT)
                return
            if step.fault is Fault.KILL:
                await host.kill()
                await asyncio.sleep(step.duration_s)
            else:
                await host.stop()
            host.start()
            await host.wait_ready()
        finally:
            self._processes_in_use.discard(host.name)

    async def _inject_fault_on_all_hosts(self, step: Step) -> None:
        single = Fault.KILL if step.fault is Fault.KILL_ALL else Fault.STOP
        single_step = dataclasses.replace(step, fault=single)
        if step.fault is Fault.KILL_ALL:
            await asyncio.gather(
                *(
                    self._inject_process_fault(single_step, h)
                    for h in self._environment.hosts
                )
            )
            return
        for host in self._environment.hosts:
            await self._inject_process_fault(single_step, host)

    async def _inject_store_fault(self, step: Step) -> None:
        environment = self._environment
        if step.fault is Fault.STORE_LOSES_ANSWERS:
            environment.store.faults.responses_to_lose = _RESPONSES_TO_LOSE
            await asyncio.sleep(step.duration_s)
            environment.store.faults.responses_to_lose = 0
        elif step.fault is Fault.STORE_FORGETS:
            environment.store.compact_history()
        elif step.fault is Fault.STORE_SLOW:
            await _apply_for(
                environment.store_delays, _ADDED_DELAY_S, step.duration_s
            )
        else:
            fault = _STORE_FAULTS[step.fault]
            await _apply_for(environment.store_faults, fault, step.duration_s)

    async def _inject_watch_fault(self, step: Step) -> None:
        """Loses or cuts watches; all other calls are answered."""
        store = self._environment.store
        if step.fault is Fault.WATCHES_LOST:
            store.faults.watch_responses_to_lose = _RESPONSES_TO_LOSE
            await asyncio.sleep(step.duration_s)
            store.faults.watch_responses_to_lose = 0
            return
        store.faults.omits_watch_events = True
        await asyncio.sleep(min(step.duration_s, _MAX_OMISSION_S))
        store.faults.omits_watch_events = False
        await store.reset_connections()

    async def _inject_replica_fault(self, step: Step, replica: Replica) -> None:
        if step.fault is Fault.REPLICA_CRASH:
            await replica.crash()
            await asyncio.sleep(min(step.duration_s, _ENTRY_TTL_S))
            replica.remove_entry()
            await asyncio.sleep(max(0.0, step.duration_s - _ENTRY_TTL_S))
            await replica.start()
        elif step.fault is Fault.REPLICA_DRAINS:
            await self._drain(replica, step.duration_s)
        elif step.fault is Fault.REPLICA_WRITES_LATE:
            await self._drain(replica, _LATE_DRAIN_S, _LATE_WRITE_S)
        elif step.fault is Fault.REPLICA_LINK_SLOW:
            state = LinkState(LinkFault.DELAY, _ADDED_DELAY_S)
            await _apply_for(replica.link_faults, state, step.duration_s)
        else:
            fault = _REPLICA_FAULTS[step.fault]
            await _apply_for(replica.faults, fault, step.duration_s)

    async def _drain(
        self, replica: Replica, duration_s: float, late_write_s: float = 0.0
    ) -> None:
        """Has a replica drain, then start anew.

        Args:
            replica: The replica.
            duration_s: How long it drains, in seconds.
            late_write_s: When an older entry arrives, in seconds from the
                start; 0 for never.
        """
        replica.write_entry("draining")
        drain = Drain(replica.fake.id, time.monotonic(), 0.0)
        if late_write_s:
            await asyncio.sleep(late_write_s)
            replica.write_entry("ready")
        await asyncio.sleep(duration_s - late_write_s)
        drain.ended_at = time.monotonic()
        self._environment.drains.append(drain)
        replica.begin_anew()

    async def _change_configuration(self) -> None:
        self._environment.change_configuration()


async def _apply_for(
    stack: FaultStack[ValueT], value: ValueT, duration_s: float
) -> None:
    stack.begin(value)
    try:
        await asyncio.sleep(duration_s)
    finally:
        stack.end(value)
