"""A host in a separate process, for tests that pause it.

Arguments: the port of the host and that of its peer. Prints ``paused`` when
the membership reports a pause.
"""

import asyncio
import sys

import hosts

from masticdale_common import Metrics, TimerService
from masticdale_peers import connect, join, new_incarnation, serve


async def run_host(name, own_port, peer_port, on_paused):
    peer_name = "a" if name == "b" else "b"
    timers = TimerService()
    peer = hosts.peer_at(
        hosts.Address(ip="127.0.0.1", port=peer_port), peer_name
    )
    incarnation = new_incarnation()
    membership = join(
        lambda: hosts.Heartbeat(name, "d", incarnation),
        [peer_name],
        connect([peer], None, Metrics(), timers),
        timers,
    )
    membership.subscribe_pause(on_paused)
    address = hosts.Address(ip="127.0.0.1", port=own_port)
    server = await serve(hosts.MembershipHandler(membership), address, None)
    membership.start()
    return membership, server, timers


async def main():
    async def on_paused(seconds):
        print("paused", flush=True)

    own_port, peer_port = (int(text) for text in sys.argv[1:])
    await run_host("b", own_port, peer_port, on_paused)
    await asyncio.sleep(60.0)


if __name__ == "__main__":
    asyncio.run(main())
