"""Measures what peers cost each host, as slopes over the number of hosts.

The hosts of one run share this process. In memory, each call goes through the
thrift binary codec both ways, so that bytes and processor time are those of
real messages without the sockets; over loopback, it goes through sockets too.
Prints a table, or JSON with ``--json``. Processor time is of this machine.
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
_HALF_THERE = 16
_RPC_CONNECTIONS = (1, 8)
_RPC_CALLS = 4000
_RPC_BYTES = 2000
_WARM_UP_PERIODS = 4
_MEASURED_PERIODS = 10
_CHANGE_PERIODS = 30
_DETECTIONS = 1
# Message header, call name and the struct around the one argument, with the
# TCP and IP headers of its packet.
_FRAME_BYTES = 4 + 4 + 9 + 4 + 4 + 52
_MB = 1 << 20
_POLL_S = 0.05
# Looking at the views of all hosts would take more time than they do.
_OBSERVERS = 16
# So many hosts fit on one core with time to spare. With more of them all
# periods are stretched, and the figures are scaled back.
_HOSTS_IN_REAL_TIME = 68


@dataclasses.dataclass(frozen=True, slots=True)
class HostCost:
    """What membership costs one host.

    Attributes:
        transport: ``memory`` or ``sockets``.
        hosts: How many hosts there are.
        absent: How many of those in the settings are not there.
        messages_per_s: Heartbeats and replies that a host sends.
        bytes_per_s: Bytes that a host sends, with headers.
        busiest_bytes_per_s: The same of the host that sends most.
        change_bytes_per_s: Bytes a host sends while all take a new revision.
        core_share: Processor time of a host, as part of one core.
        memory_mb: Memory held for one host.
        revision_s: Until a new revision of all hosts is seen on those that
            are observed.
        detect_first_s: Until the first of the observed hosts misses a killed
            one.
        detect_all_s: Until each of them misses it.
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
        """True where the host stays within the limits asked for."""
        return (
            self.core_share <= _CORE_LIMIT
            and self.memory_mb <= _MEMORY_LIMIT_MB
            and max(self.busiest_bytes_per_s, self.change_bytes_per_s)
            <= _BYTES_LIMIT
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RpcCost:
    """What one call costs, both ends together, over loopback sockets."""

    connections: int
    calls_per_s: float
    cpu_us_per_call: float


class CountingNetwork(MemoryNetwork):
    """A network in memory that encodes, decodes and counts each message."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_by_host: dict[str, int] = {}
        self.messages = 0

    def reset(self) -> None:
        """Starts to count anew."""
        self.bytes_by_host.clear()
        self.messages = 0

    async def deliver(
        self, link: Any, rpc: Rpc[Any, Any], request: Any, timeout_s: float
    ) -> Any:
        """See ``MemoryNetwork.deliver``."""
        request = self._coded(link.origin, request)
        result = await super().deliver(link, rpc, request, timeout_s)
        return result.map(lambda reply: self._coded(link.target, reply))

    def _coded(self, sender: str, message: Any) -> Any:
        data = _encode(message)
        self.messages += 1
        sent = self.bytes_by_host.get(sender, 0)
        self.bytes_by_host[sender] = sent + len(data) + _FRAME_BYTES
        return _decode(type(message), data)


def _encode(message: Any) -> bytes:
    encoded: bytes = serialize(to_wire(message), _PythonProtocolFactory())
    return encoded


def _decode(message_type: type[Any], data: bytes) -> Any:
    struct = type(to_wire(_EMPTY_BY_TYPE[message_type.__name__]))()
    TBinaryProtocol(TMemoryBuffer(data)).read_struct(struct)
    return from_wire(message_type, struct)


class _PythonProtocolFactory:
    """Makes the protocol that the asyncio connections use, not the C one."""

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
        name: Its name.
        membership: Its view.
        revision: The configuration revision it says is in force.
        directory: Its connections; None in memory.
        server: Its socket; None in memory.
    """

    name: str
    membership: Membership
    revision: "Revision"
    directory: PeerDirectory | None = None
    server: PeerServer | None = None


@dataclasses.dataclass(slots=True)
class Revision:
    """The revision that all hosts say is in force."""

    number: int = 1


class Fleet:
    """Hosts under measurement in one process."""

    def __init__(self, count: int, absent: int) -> None:
        self.stretch = max(1.0, (count + absent) / _HOSTS_IN_REAL_TIME)
        self.limits = _stretched(MembershipLimits(), self.stretch)
        self.names = [f"host-{number:03}" for number in range(count + absent)]
        self.live_names = self.names[:count]
        self.timers_by_host = {name: TimerService() for name in self.names}
        self.host_by_name: dict[str, Host] = {}
        self.network = CountingNetwork()
        self.revision = Revision()

    async def start(self, transport: str) -> None:
        """Starts every host that is there."""
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
        """Returns some of the live hosts, evenly spread."""
        hosts = list(self.host_by_name.values())
        return hosts[:: max(1, len(hosts) // _OBSERVERS)]

    async def kill(self, name: str) -> None:
        """Stops a host at once."""
        host = self.host_by_name.pop(name)
        self.network.detach(name)
        if host.server is not None:
            await host.server.close(0.0)
        if host.directory is not None:
            host.directory.close()
        await host.membership.close()
        await self.timers_by_host[name].close()

    async def close(self) -> None:
        """Stops every host."""
        for name in list(self.host_by_name):
            await self.kill(name)

    def _join(self, name: str, peers: Any) -> Membership:
        incarnation = new_incarnation()
        revision = self.revision

        def beat() -> Heartbeat:
            return Heartbeat(name, "domain-1", incarnation, revision.number)

        timers = self.timers_by_host[name]
        return join(beat, self.names, peers, timers, self.limits)

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


def _stretched(limits: MembershipLimits, factor: float) -> MembershipLimits:
    return dataclasses.replace(
        limits,
        period_s=limits.period_s * factor,
        timeout_s=limits.timeout_s * factor,
        lease_s=limits.lease_s * factor,
        refute_s=limits.refute_s * factor,
        suspect_s=limits.suspect_s * factor,
        accuse_again_s=limits.accuse_again_s * factor,
    )


def _handler(membership: Membership) -> Any:
    async def heartbeat(beat: Heartbeat) -> Any:
        return membership.receive_heartbeat(beat)

    async def submit(submission: Submission) -> SubmitReply:
        return SubmitReply(submission.operation)

    return types.SimpleNamespace(heartbeat=heartbeat, submit=submit)


def _free_address() -> Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(ip="127.0.0.1", port=probe.getsockname()[1])


async def _until(is_done: Any, most_s: float) -> float:
    started = time.monotonic()
    for _ in range(int(most_s / _POLL_S)):
        if is_done():
            break
        await asyncio.sleep(_POLL_S)
    return time.monotonic() - started


async def measure_hosts(transport: str, count: int, absent: int) -> HostCost:
    """Measures one number of hosts."""
    fleet = Fleet(count, absent)
    period_s = fleet.limits.period_s
    gc.collect()
    tracemalloc.start()
    held_before = tracemalloc.get_traced_memory()[0]
    await fleet.start(transport)
    await asyncio.sleep(2 * period_s)
    held = tracemalloc.get_traced_memory()[0] - held_before
    tracemalloc.stop()
    everyone = tuple(fleet.live_names)

    def all_agree() -> bool:
        hosts = fleet.observers()
        return all(h.membership.live_names() == everyone for h in hosts)

    await _until(all_agree, _CHANGE_PERIODS * period_s)
    await asyncio.sleep(_WARM_UP_PERIODS * period_s)
    fleet.network.reset()
    cpu_before, started = time.process_time(), time.monotonic()
    await asyncio.sleep(_MEASURED_PERIODS * period_s)
    cpu_s = time.process_time() - cpu_before
    took_s = (time.monotonic() - started) / fleet.stretch
    messages = fleet.network.messages
    sent = dict(fleet.network.bytes_by_host) or {"": 0}
    revision_s, change_bytes = await _measure_revision(fleet)
    first_s, all_s = await _measure_detection(fleet)
    await fleet.close()
    return HostCost(
        transport=transport,
        hosts=count,
        absent=absent,
        messages_per_s=messages / took_s / count,
        bytes_per_s=sum(sent.values()) / took_s / count,
        busiest_bytes_per_s=max(sent.values()) / took_s,
        change_bytes_per_s=change_bytes / count,
        core_share=cpu_s / took_s / count,
        memory_mb=held / count / _MB,
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

    took_s = await _until(all_seen, 60.0 * fleet.stretch) / fleet.stretch
    return took_s, sum(fleet.network.bytes_by_host.values()) / took_s


async def _measure_detection(fleet: Fleet) -> tuple[float, float]:
    first, last = [], []
    for name in fleet.live_names[1 : 1 + _DETECTIONS]:
        if len(fleet.host_by_name) < 2:
            break
        await fleet.kill(name)

        def missing(name: str = name) -> list[bool]:
            return [
                name not in host.membership.live_names()
                for host in fleet.observers()
            ]

        most_s = 30.0 * fleet.stretch
        first_s = await _until(lambda m=missing: any(m()), most_s)
        last_s = await _until(lambda m=missing: all(m()), most_s)
        first.append(first_s / fleet.stretch)
        last.append((first_s + last_s) / fleet.stretch)
    return statistics.median(first), max(last)


async def measure_rpc(connections: int) -> RpcCost:
    """Measures unary calls of a 2 kB text over loopback."""
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
    share = _RPC_CALLS // connections
    await asyncio.gather(*(call(share) for _ in range(connections)))
    cpu_s = time.process_time() - cpu_before
    took_s = time.monotonic() - started
    await fleet.close()
    calls = share * connections
    return RpcCost(connections, calls / took_s, cpu_s / calls * 1e6)


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
        half = _HALF_THERE
        hosts.append(await measure_hosts("memory", half, half))
        for count in socket_sizes:
            hosts.append(await measure_hosts("sockets", count, 0))
        rpcs = [await measure_rpc(count) for count in _RPC_CONNECTIONS]
    return hosts, rpcs


def main() -> int:
    """Measures and prints.

    Returns:
        The exit code: 0 where every size stays within the limits.
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
