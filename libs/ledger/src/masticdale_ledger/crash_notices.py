"""Passes on reports of crashes that can't be written to the store.

A host knows the owners and standbys of shards, and these know the hosts that
ask them. A notice therefore goes to all of the former, and two of them forward
it to all of the latter.
"""

import asyncio
import random

from masticdale_ledger.hosts import Hosts, LiveHosts
from masticdale_ledger.messages import (
    NOTIFY_CRASHES,
    CrashNotice,
    CrashNoticeReply,
    CrashNoticeRequest,
)
from masticdale_routing.crashes import CrashEvidence, CrashReport

# Timeout of a notice in seconds; see ``CALL_TIMEOUT_S``.
_TIMEOUT_S = 0.4
# Hosts that are asked to forward a notice. The second stands in for one that
# is gone.
_FORWARDERS = 2
# Time for which notices are collected before they are forwarded, in seconds.
# If many replicas end, every host sends one.
_FORWARD_DELAY_S = 0.02


class CrashNotices:
    """Sends, receives and forwards notices."""

    def __init__(
        self,
        host: str,
        evidence: CrashEvidence,
        hosts: Hosts,
        live_hosts: LiveHosts,
    ) -> None:
        """Creates the exchange of notices.

        Args:
            host: Name of this host.
            evidence: What is known to this host.
            hosts: Owners and standbys of shards, and seeds.
            live_hosts: The hosts that have asked this one recently.
        """
        self._host = host
        self._evidence = evidence
        self._hosts = hosts
        self._live_hosts = live_hosts
        self._random = random.Random()
        self._pending_by_host: dict[str, CrashNotice] = {}
        self._forwarding: asyncio.Task[None] | None = None

    async def send(self, reports: tuple[CrashReport, ...]) -> None:
        """Sends the reports of this host to all others."""
        notice = CrashNotice(self._host, reports)
        known = self._hosts.candidates()
        forwarders = self._random.sample(known, min(_FORWARDERS, len(known)))
        # This host may be an owner itself, and the only one.
        self._forward_later(notice)
        await asyncio.gather(
            *(
                self._notify(address, (notice,), address in forwarders)
                for address in known
            )
        )

    def receive(self, request: CrashNoticeRequest) -> CrashNoticeReply:
        """Applies notices of other hosts, and forwards what is new."""
        now = asyncio.get_running_loop().time()
        news = [
            notice
            for notice in request.notices
            if notice.host != self._host
            and self._evidence.add(notice.host, notice.reports, now)
        ]
        if request.forward:
            for notice in news:
                self._forward_later(notice)
        return CrashNoticeReply(bool(news))

    def _forward_later(self, notice: CrashNotice) -> None:
        self._pending_by_host[notice.host] = notice
        if self._forwarding is None:
            self._forwarding = asyncio.create_task(self._forward())

    async def _forward(self) -> None:
        await asyncio.sleep(_FORWARD_DELAY_S)
        self._forwarding = None
        notices = tuple(self._pending_by_host.values())
        self._pending_by_host.clear()
        await asyncio.gather(
            *(
                self._notify((host.address, host.port), notices, False)
                for host in self._live_hosts.live()
            )
        )

    async def _notify(
        self,
        address: tuple[str, int],
        notices: tuple[CrashNotice, ...],
        forward: bool,
    ) -> None:
        await self._hosts.client(*address).call(
            NOTIFY_CRASHES, CrashNoticeRequest(notices, forward), _TIMEOUT_S
        )
