"""Injects faults into a running system and reverts them."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable, Iterator

import httpx

from masticdale_load.system_plans import FaultKind, SystemPlan
from masticdale_load.system_takeover import TakeoverProbe
from masticdale_standins.clusters import LocalCluster
from masticdale_standins.testing import RunningProcess

_LEAVING_WATCH_S = 5.0
_POLL_S = 0.1
_STOP_TIMEOUT_S = 60.0
_SLOW_MS = 400
_LOST_ANSWERS = 3
_HTTP_TIMEOUT_S = 5.0
# Upper bound of the time until a failed host is detected and its homes and
# shards have moved.
_RECOVERY_S = 4.0


@dataclasses.dataclass(slots=True)
class FaultMeasurements:
    """Measurements taken during faults; times are in seconds.

    Attributes:
        count_by_fault: Number of injections by fault kind.
        takeover_s: Time until each shard of a killed host was served again.
        takeover_twofold_s: The same, while another host or the platform
            failed too.
        leaving_s: Time until a leaving upstream received its last new call.
        leaving_twofold_s: The same, while a host or the platform failed too.
        stops: Number of planned stops.
        failed_stops: Planned stops that timed out or whose exit code was not
            0.
        stop_seconds: Durations of the planned stops.
    """

    count_by_fault: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    takeover_s: list[float] = dataclasses.field(default_factory=list)
    takeover_twofold_s: list[float] = dataclasses.field(default_factory=list)
    leaving_s: list[float] = dataclasses.field(default_factory=list)
    leaving_twofold_s: list[float] = dataclasses.field(default_factory=list)
    stops: int = 0
    failed_stops: list[str] = dataclasses.field(default_factory=list)
    stop_seconds: list[float] = dataclasses.field(default_factory=list)


class FaultTracker:
    """Tracks faults of hosts and of the platform to detect overlaps."""

    def __init__(self) -> None:
        self._active = 0
        self._ended_at = -_RECOVERY_S
        self._count = 0

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Counts a fault as active for the duration of the block."""
        self._active += 1
        self._count += 1
        try:
            yield
        finally:
            self._active -= 1
            self._ended_at = time.monotonic()

    def checkpoint(self) -> int | None:
        """Returns a mark for ``is_isolated``.

        Returns:
            None during another fault and the recovery after it.
        """
        has_recovered = time.monotonic() - self._ended_at > _RECOVERY_S
        return None if self._active or not has_recovered else self._count

    def is_isolated(self, mark: int | None) -> bool:
        """Returns whether no other fault was active before or since a mark."""
        return mark == self._count


class FaultDriver:
    """Injects random faults of a plan, two at most at once."""

    def __init__(
        self, plan: SystemPlan, cluster: LocalCluster, probe: TakeoverProbe
    ) -> None:
        self.measurements = FaultMeasurements()
        self._plan = plan
        self._cluster = cluster
        self._probe = probe
        self._random = random.Random(f"faults-{plan.seed}")
        self._faulty_hosts: set[str] = set()
        self._fault_tracker = FaultTracker()
        self._tasks: set[asyncio.Task[None]] = set()
        self._inject_by_kind: dict[FaultKind, Callable[[], Awaitable[None]]] = {
            FaultKind.KILL_HOST: self._kill_host,
            FaultKind.PAUSE_HOST: self._pause_host,
            FaultKind.RESTART_HOST: self._restart_some_host,
            FaultKind.PLATFORM_DOWN: self._platform_down,
            FaultKind.PLATFORM_SLOW: self._platform_slow,
            FaultKind.PLATFORM_LOSES_ANSWERS: self._platform_loses,
            FaultKind.ENGINE_CRASH: self._engine_crash,
            FaultKind.ENGINE_FREEZES_STREAMS: self._engine_freeze,
            FaultKind.ENGINE_CROSSES_ANSWERS: self._engine_cross,
            FaultKind.ENGINE_TRUNCATES: self._engine_truncate,
            FaultKind.ENGINE_LEAVES: self._engine_leaves,
            FaultKind.ENGINE_LISTED_LEAVING: self._engine_listed_leaving,
            FaultKind.SERVICE_LOSES_ANSWERS: self._service_loses,
            FaultKind.SERVICE_REFUSES: self._service_refuses,
        }

    async def run(self) -> None:
        """Injects faults periodically until cancelled."""
        if not self._plan.faults:
            return
        while True:
            await asyncio.sleep(self._plan.fault_period_s)
            kind = self._random.choice(self._plan.faults)
            self.measurements.count_by_fault[kind.value] += 1
            task = asyncio.ensure_future(self._inject_by_kind[kind]())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait_until_reverted(self) -> None:
        """Waits until every fault is reverted."""
        await asyncio.gather(*self._tasks)

    async def restart_all(self) -> None:
        """Restarts every host in turn with a planned stop."""
        for host in list(self._cluster.daemon_by_name):
            await self._restart(host)

    def _pick_host(self) -> str | None:
        hosts = sorted(set(self._cluster.daemon_by_name) - self._faulty_hosts)
        # At most two hosts are down at once, and at least two are up.
        if len(hosts) < max(3, len(self._cluster.daemon_by_name) - 1):
            return None
        return self._random.choice(hosts)

    async def _kill_host(self) -> None:
        host = self._pick_host()
        if host is None:
            return
        self._faulty_hosts.add(host)
        try:
            shards = await self._probe.shards_of(host)
            mark = self._fault_tracker.checkpoint()
            self._cluster.daemon_by_name[host].process.kill()
            seconds = await self._probe.measure(shards)
            is_isolated = self._fault_tracker.is_isolated(mark)
            measurements = self.measurements
            samples = measurements.takeover_s
            if not is_isolated:
                samples = measurements.takeover_twofold_s
            samples.extend(seconds)
            with self._fault_tracker.track():
                await self._start(host)
        finally:
            self._faulty_hosts.discard(host)

    async def _pause_host(self) -> None:
        host = self._pick_host()
        if host is None:
            return
        self._faulty_hosts.add(host)
        process = self._cluster.daemon_by_name[host].process
        with self._fault_tracker.track():
            process.pause()
            try:
                await asyncio.sleep(2 * self._plan.fault_s)
            finally:
                process.resume()
                await asyncio.sleep(self._plan.fault_s)
                self._faulty_hosts.discard(host)

    async def _restart_some_host(self) -> None:
        host = self._pick_host()
        if host is None:
            return
        with self._fault_tracker.track():
            await self._restart(host)

    async def _restart(self, host: str) -> None:
        self._faulty_hosts.add(host)
        process = self._cluster.daemon_by_name[host].process
        started = time.monotonic()
        process.terminate()
        self.measurements.stops += 1
        while process.exit_code is None:
            if time.monotonic() - started > _STOP_TIMEOUT_S:
                self.measurements.failed_stops.append(f"{host}: stop timed out")
                process.kill()
                break
            await asyncio.sleep(_POLL_S)
        self.measurements.stop_seconds.append(time.monotonic() - started)
        if process.exit_code != 0:
            detail = f"{host}: exit code {process.exit_code}"
            self.measurements.failed_stops.append(detail)
        await self._start(host)
        self._faulty_hosts.discard(host)

    async def _start(self, host: str) -> None:
        self._cluster.restart_daemon(host)
        await asyncio.to_thread(self._cluster.wait_ready, host)

    async def _platform_down(self) -> None:
        await self._platform_fault(down=True)

    async def _platform_slow(self) -> None:
        await self._platform_fault(delay_ms=_SLOW_MS)

    async def _platform_loses(self) -> None:
        await self._platform_fault(lose_write_answers=_LOST_ANSWERS)

    async def _platform_fault(self, **faults: object) -> None:
        with self._fault_tracker.track():
            await self._set_faults(self._cluster.platform, **faults)
            await asyncio.sleep(self._plan.fault_s)
            await self._set_faults(self._cluster.platform)

    async def _engine_crash(self) -> None:
        await self._set_faults(self._pick_engine(), crash_now=True)

    async def _engine_freeze(self) -> None:
        await self._set_faults(self._pick_engine(), freeze_streams=True)

    async def _engine_cross(self) -> None:
        await self._set_faults(self._pick_engine(), cross_answers=2)

    async def _engine_truncate(self) -> None:
        await self._set_faults(self._pick_engine(), truncate=2)

    async def _engine_leaves(self) -> None:
        process = self._pick_engine()
        await self._set_faults(process, leaving=True)
        await self._watch_leaving(process)
        await self._set_faults(process)

    async def _engine_listed_leaving(self) -> None:
        name = self._random.choice(sorted(self._cluster.engine_by_name))
        await self._set_listed(name, leaving=True)
        await self._watch_leaving(self._cluster.engine_by_name[name])
        await self._set_listed(name, leaving=False)

    async def _service_loses(self) -> None:
        await self._set_faults(self._pick_service(), lose_answers=2)

    async def _service_refuses(self) -> None:
        await self._set_faults(self._pick_service(), refuse_before_running=2)

    def _pick_engine(self) -> RunningProcess:
        engines = self._cluster.engine_by_name
        return engines[self._random.choice(sorted(engines))]

    def _pick_service(self) -> RunningProcess:
        services = self._cluster.service_by_name
        return services[self._random.choice(sorted(services))]

    async def _watch_leaving(self, process: RunningProcess) -> None:
        """Measures the time from leaving to the last new call."""
        mark = self._fault_tracker.checkpoint()
        started = time.monotonic()
        last_s = 0.0
        calls = await self._calls(process)
        while time.monotonic() - started < _LEAVING_WATCH_S:
            await asyncio.sleep(_POLL_S)
            current_calls = await self._calls(process)
            if current_calls != calls:
                last_s = time.monotonic() - started
            calls = current_calls
        if self._fault_tracker.is_isolated(mark):
            self.measurements.leaving_s.append(last_s)
        else:
            self.measurements.leaving_twofold_s.append(last_s)

    async def _calls(self, process: RunningProcess) -> int:
        url = f"{process.base_url}/admin/stats"
        async with _http() as http:
            response = await http.get(url)
        calls: int = response.json()["calls"]
        return calls

    async def _set_listed(self, name: str, leaving: bool) -> None:
        url = f"{self._cluster.platform.base_url}/admin/hosts"
        async with _http() as http:
            response = await http.post(
                url, json={"name": name, "leaving": leaving}
            )
        response.raise_for_status()

    async def _set_faults(
        self, process: RunningProcess, **faults: object
    ) -> None:
        await asyncio.to_thread(self._cluster.set_faults, process, **faults)


def _http() -> httpx.AsyncClient:
    return httpx.AsyncClient(timeout=_HTTP_TIMEOUT_S, trust_env=False)
