"""Measures the cost of peer communication by the number of hosts.

All hosts of a run share this process. With the memory transport, messages are
encoded and decoded with the thrift binary codec but use no sockets; with the
socket transport, they go over loopback. Prints a table, or JSON with
``--json``.
"""

import argparse
import asyncio
import dataclasses
import gc
import json
import os
import socket
import statistics
import subprocess
import sys
import time
import tracemalloc
import types
from typing import Any

from thriftpy2.protocol.binary import TBinaryProtocol
from thriftpy2.transport import TMemoryBuffer
from thriftpy2.utils import serialize

from masticdale_common import Metrics, TimerService
from masticdale_peers import (
    Address,
    Heartbeat,
    Membership,
    MembershipLimits,
    PeerDirectory,
    PeerServer,
    PeerSettings,
    Submission,
    SubmitReply,
    connect,
    join,
    new_incarnation,
    serve,
)
from masticdale_peers.messages import HEARTBEAT, Rpc, from_wire, to_wire
from masticdale_peers.testing import MemoryNetwork

_CORE_LIMIT = 0.025
_MEMORY_LIMIT_MB = 256
_BYTES_LIMIT = 12_000
_MEMORY_SIZES = (8, 64, 340)
_SOCKET_SIZES = (3, 9)
_HALF_PRESENT_HOSTS = 16
_RPC_CONNECTIONS = (1, 8)
_RPC_CALLS = 4000
_RPC_BYTES = 2000
_WARM_UP_PERIODS = 4
_MEASURED_PERIODS = 10
_CHANGE_PERIODS = 30
_KILLED_HOSTS = 1
# Message header, call name, argument struct, and TCP and IP headers.
_FRAME_BYTES = 4 + 4 + 9 + 4 + 4 + 52
_MB = 1 << 20
_POLL_S = 0.05
# Only a sample is observed: reading the views of all hosts would cost more CPU
# time than the hosts themselves use.
_OBSERVERS = 16
# One core cannot run more hosts than this in real time. Above it, all periods
# are scaled up and the measurements are scaled back.
_MAX_UNSCALED_HOSTS = 68


@dataclasses.dataclass(frozen=True, slots=True)
class HostCost:
    """Cost of membership for one host.

    Attributes:
        transport: ``memory`` or ``sockets``.
        hosts: Number of running hosts.
        absent: Number of configured hosts that do not run.
        messages_per_s: Heartbeats and replies that a host sends.
        bytes_per_s: Bytes that a host sends, with headers.
        busiest_bytes_per_s: Bytes that the busiest host sends, with headers.
        change_bytes_per_s: Bytes that a host sends while a new revision
            spreads.
        core_share: CPU time of a host, as a fraction of one core.
        memory_mb: Memory allocated for one host.
        revision_s: Time until the observed hosts see the new revision of all
            hosts.
        detect_first_s: Time until the first observed host detects a killed
            host.
        detect_all_s: Time until all observed hosts detect it.
    """

    transport: str
    hosts: int
    absent: int
    messages_per_s: float
    bytes_per_s: float
    busiest_bytes_per_s: float
    change_bytes_per_s: float
    core_share: float
    memory_mb: float
    revision_s: float
    detect_first_s: float
    detect_all_s: float

    @property
    def fits(self) -> bool:
        """Whether the cost is within the limits."""
        return (
            self.core_share <= _CORE_LIMIT
            and self.memory_mb <= _MEMORY_LIMIT_MB
            and max(self.busiest_bytes_per_s, self.change_bytes_per_s)
            <= _BYTES_LIMIT
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RpcCost:
    """Cost of one call over loopback, for client and server together."""

    connections: int
    calls_per_s: float
    cpu_us_per_call: float


class CountingNetwork(MemoryNetwork):
    """In-memory network that encodes, decodes and counts messages."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_by_host: dict[str, int] = {}
        self.messages = 0

    def reset(self) -> None:
        """Resets the counters."""
        self.bytes_by_host.clear()
        self.messages = 0

    async def deliver(
        self, link: Any, rpc: Rpc[Any, Any], request: Any, timeout_s: float
    ) -> Any:
        """See ``MemoryNetwork.deliver``."""
        request = self._round_trip(link.origin, request)
        result = await super().deliver(link, rpc, request, timeout_s)
        return result.map(lambda reply: self._round_trip(link.target, reply))

    def _round_trip(self, sender: str, message: Any) -> Any:
        data = _encode(message)
        self.messages += 1
        sent_bytes = self.bytes_by_host.get(sender, 0)
        self.bytes_by_host[sender] = sent_bytes + len(data) + _FRAME_BYTES
        return _decode(type(message), data)


def _encode(message: Any) -> bytes:
    encoded: bytes = serialize(to_wire(message), _PythonProtocolFactory())
    return encoded


def _decode(message_type: type[Any], data: bytes) -> Any:
    struct = type(to_wire(_EMPTY_BY_TYPE[message_type.__name__]))()
    TBinaryProtocol(TMemoryBuffer(data)).read_struct(struct)
    return from_wire(message_type, struct)


class _PythonProtocolFactory:
    """Creates the pure Python protocol, which asyncio connections use."""

    def get_protocol(self, transport: Any) -> Any:
        """Returns the protocol on a transport."""
        return TBinaryProtocol(transport)


_EMPTY_BY_TYPE = {
    "Heartbeat": Heartbeat("", "", ""),
    "HeartbeatReply": HEARTBEAT.reply_type(Heartbeat("", "", "")),
}


@dataclasses.dataclass(slots=True)
class Host:
    """One running host.

    Attributes:
        name: Name of the host.
        membership: Membership view of the host.
        revision: Active configuration revision that the host reports.
        directory: Connections to peers; None with the memory transport.
        server: Peer server; None with the memory transport.
    """

    name: str
    membership: Membership
    revision: "Revision"
    directory: PeerDirectory | None = None
    server: PeerServer | None = None


@dataclasses.dataclass(slots=True)
class Revision:
    """Active configuration revision that all hosts report."""

    number: int = 1


class Fleet:
    """Hosts under measurement in one process."""

    def __init__(self, count: int, absent: int) -> None:
        self.time_scale = max(1.0, (count + absent) / _MAX_UNSCALED_HOSTS)
        self.limits = _scale_timings(MembershipLimits(), self.time_scale)
        self.names = [f"host-{number:03}" for number in range(count + absent)]
        self.live_names = self.names[:count]
        self.timers_by_host = {name: TimerService() for name in self.names}
        self.host_by_name: dict[str, Host] = {}
        self.network = CountingNetwork()
        self.revision = Revision()

    async def start(self, transport: str) -> None:
        """Starts all live hosts."""
        addresses = {name: _free_address() for name in self.names[:1]}
        if transport == "sockets":
            addresses = {name: _free_address() for name in self.names}
        for name in self.live_names:
            if transport == "sockets":
                host = await self._socket_host(name, addresses)
            else:
                host = self._memory_host(name)
            self.host_by_name[name] = host
        for host in self.host_by_name.values():
            host.membership.start()

    def observers(self) -> list[Host]:
        """Returns an evenly spaced sample of the live hosts."""
        hosts = list(self.host_by_name.values())
        return hosts[:: max(1, len(hosts) // _OBSERVERS)]

    async def kill(self, name: str) -> None:
        """Stops a host without a graceful shutdown."""
        host = self.host_by_name.pop(name)
        self.network.detach(name)
        if host.server is not None:
            await host.server.close(0.0)
        if host.directory is not None:
            host.directory.close()
        await host.membership.close()
        await self.timers_by_host[name].close()

    async def close(self) -> None:
        """Stops all hosts."""
        for name in list(self.host_by_name):
            await self.kill(name)

    def _join(self, name: str, peers: Any) -> Membership:
        incarnation = new_incarnation()
        revision = self.revision

        def make_heartbeat() -> Heartbeat:
            return Heartbeat(name, "domain-1", incarnation, revision.number)

        timers = self.timers_by_host[name]
        return join(make_heartbeat, self.names, peers, timers, self.limits)

    def _memory_host(self, name: str) -> Host:
        membership = self._join(name, self.network.peers(name))
        self.network.attach(name, _handler(membership))
        return Host(name, membership, self.revision)

    async def _socket_host(
        self, name: str, addresses: dict[str, Address]
    ) -> Host:
        peers = [
            PeerSettings(name=peer, address=address, domain="domain-1")
            for peer, address in addresses.items()
            if peer != name
        ]
        timers = self.timers_by_host[name]
        directory = connect(peers, None, Metrics(), timers)
        membership = self._join(name, directory)
        server = await serve(_handler(membership), addresses[name], None)
        return Host(name, membership, self.revision, directory, server)


def _scale_timings(
    limits: MembershipLimits, time_scale: float
) -> MembershipLimits:
    return dataclasses.replace(
        limits,
        period_s=limits.period_s * time_scale,
        timeout_s=limits.timeout_s * time_scale,
        lease_s=limits.lease_s * time_scale,
        refute_s=limits.refute_s * time_scale,
        suspect_s=limits.suspect_s * time_scale,
        accuse_again_s=limits.accuse_again_s * time_scale,
    )


def _handler(membership: Membership) -> Any:
    async def heartbeat(message: Heartbeat) -> Any:
        return membership.receive_heartbeat(message)

    async def submit(submission: Submission) -> SubmitReply:
        return SubmitReply(submission.operation)

    return types.SimpleNamespace(heartbeat=heartbeat, submit=submit)


def _free_address() -> Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(ip="127.0.0.1", port=probe.getsockname()[1])


async def _wait_until(is_done: Any, timeout_s: float) -> float:
    started = time.monotonic()
    for _ in range(int(timeout_s / _POLL_S)):
        if is_done():
            break
        await asyncio.sleep(_POLL_S)
    return time.monotonic() - started


async def measure_hosts(transport: str, count: int, absent: int) -> HostCost:
    """Measures the cost for one number of hosts."""
    fleet = Fleet(count, absent)
    period_s = fleet.limits.period_s
    gc.collect()
    tracemalloc.start()
    allocated_before = tracemalloc.get_traced_memory()[0]
    await fleet.start(transport)
    await asyncio.sleep(2 * period_s)
    allocated = tracemalloc.get_traced_memory()[0] - allocated_before
    tracemalloc.stop()
    live_names = tuple(fleet.live_names)

    def all_agree() -> bool:
        hosts = fleet.observers()
        return all(h.membership.live_names() == live_names for h in hosts)

    await _wait_until(all_agree, _CHANGE_PERIODS * period_s)
    await asyncio.sleep(_WARM_UP_PERIODS * period_s)
    fleet.network.reset()
    cpu_before, started = time.process_time(), time.monotonic()
    await asyncio.sleep(_MEASURED_PERIODS * period_s)
    cpu_s = time.process_time() - cpu_before
    elapsed_s = (time.monotonic() - started) / fleet.time_scale
    messages = fleet.network.messages
    sent = dict(fleet.network.bytes_by_host) or {"": 0}
    revision_s, change_bytes = await _measure_revision(fleet)
    first_s, all_s = await _measure_detection(fleet)
    await fleet.close()
    return HostCost(
        transport=transport,
        hosts=count,
        absent=absent,
        messages_per_s=messages / elapsed_s / count,
        bytes_per_s=sum(sent.values()) / elapsed_s / count,
        busiest_bytes_per_s=max(sent.values()) / elapsed_s,
        change_bytes_per_s=change_bytes / count,
        core_share=cpu_s / elapsed_s / count,
        memory_mb=allocated / count / _MB,
        revision_s=revision_s,
        detect_first_s=first_s,
        detect_all_s=all_s,
    )


async def _measure_revision(fleet: Fleet) -> tuple[float, float]:
    fleet.network.reset()
    fleet.revision.number += 1

    def all_seen() -> bool:
        return all(
            member.heartbeat.revision == fleet.revision.number
            for host in fleet.observers()
            for member in host.membership.members()
        )

    elapsed_s = (
        await _wait_until(all_seen, 60.0 * fleet.time_scale) / fleet.time_scale
    )
    return elapsed_s, sum(fleet.network.bytes_by_host.values()) / elapsed_s


async def _measure_detection(fleet: Fleet) -> tuple[float, float]:
    first, last = [], []
    for name in fleet.live_names[1 : 1 + _KILLED_HOSTS]:
        if len(fleet.host_by_name) < 2:
            break
        await fleet.kill(name)

        def missing(name: str = name) -> list[bool]:
            return [
                name not in host.membership.live_names()
                for host in fleet.observers()
            ]

        timeout_s = 30.0 * fleet.time_scale
        first_s = await _wait_until(lambda m=missing: any(m()), timeout_s)
        last_s = await _wait_until(lambda m=missing: all(m()), timeout_s)
        first.append(first_s / fleet.time_scale)
        last.append((first_s + last_s) / fleet.time_scale)
    return statistics.median(first), max(last)


async def measure_rpc(connections: int) -> RpcCost:
    """Measures unary calls with a 2 kB payload over loopback."""
    fleet = Fleet(2, 0)
    await fleet.start("sockets")
    directory = fleet.host_by_name["host-000"].directory
    assert directory is not None
    client = directory.client("host-001")
    submission = Submission("x" * _RPC_BYTES, "w", 1000, "host-000")

    async def call(count: int) -> None:
        for _ in range(count):
            (await client.submit(submission)).unwrap()

    await call(100)
    cpu_before, started = time.process_time(), time.monotonic()
    calls_per_connection = _RPC_CALLS // connections
    await asyncio.gather(
        *(call(calls_per_connection) for _ in range(connections))
    )
    cpu_s = time.process_time() - cpu_before
    elapsed_s = time.monotonic() - started
    await fleet.close()
    calls = calls_per_connection * connections
    return RpcCost(connections, calls / elapsed_s, cpu_s / calls * 1e6)


def _print_table(rows: list[Any]) -> None:
    fields = [f.name for f in dataclasses.fields(rows[0])]
    print("| " + " | ".join(fields) + " |")
    print("|" + " --- |" * len(fields))
    for row in rows:
        values = [getattr(row, name) for name in fields]
        shown = [f"{v:.4g}" if isinstance(v, float) else str(v) for v in values]
        print("| " + " | ".join(shown) + " |")
    print()


def _commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    run = subprocess.run(command, capture_output=True, text=True, check=False)
    return run.stdout.strip()


async def _run(
    sizes: list[int], socket_sizes: list[int]
) -> tuple[list[HostCost], list[RpcCost]]:
    hosts = [await measure_hosts("memory", count, 0) for count in sizes]
    rpcs = []
    if socket_sizes:
        half = _HALF_PRESENT_HOSTS
        hosts.append(await measure_hosts("memory", half, half))
        for count in socket_sizes:
            hosts.append(await measure_hosts("sockets", count, 0))
        rpcs = [await measure_rpc(count) for count in _RPC_CONNECTIONS]
    return hosts, rpcs


def main() -> int:
    """Runs all measurements and prints them.

    Returns:
        The exit code: 0 if all sizes are within the limits.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--hosts", type=int, nargs="+", default=list(_MEMORY_SIZES)
    )
    parser.add_argument(
        "--sockets", type=int, nargs="*", default=list(_SOCKET_SIZES)
    )
    options = parser.parse_args()
    hosts, rpcs = asyncio.run(_run(options.hosts, options.sockets))
    fits = all(cost.fits for cost in hosts)
    if options.json:
        report = {
            "commit": _commit(),
            "cores": os.cpu_count(),
            "limits": dataclasses.asdict(MembershipLimits()),
            "hosts": [dataclasses.asdict(cost) for cost in hosts],
            "rpcs": [dataclasses.asdict(cost) for cost in rpcs],
            "fits": fits,
        }
        print(json.dumps(report, indent=2))
    else:
        _print_table(hosts)
        if rpcs:
            _print_table(rpcs)
        print("within the limits" if fits else "beyond the limits")
    return 0 if fits else 1


if __name__ == "__main__":
    sys.exit(main())
