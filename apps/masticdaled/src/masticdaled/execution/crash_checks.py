"""An owner's side of crash suspects: it asks the content digest's home."""

import asyncio
import time

from returns.result import Result, Success

from masticdale_common import Failure, logs
from masticdale_peers import SuspectReply, SuspectRequest
from masticdale_programs import TextSink
from masticdale_routing import Admission
from masticdaled.background import Background
from masticdaled.cluster import Cluster
from masticdaled.execution.runs import Run

_SUSPECT_TIMEOUT_S = 1.0
_ADMISSION_RETRY_S = 0.1
_REPORT_ATTEMPTS = 10
_REPORT_RETRY_S = 0.5


class DigestHomeClient:
    """Asks and tells the homes of content digests."""

    def __init__(self, cluster: Cluster, background: Background) -> None:
        self._cluster = cluster
        self._background = background

    async def wait_until_admitted(self, run: Run, sink: TextSink) -> Admission:
        """Asks the content digest's home again until the call may run.

        A request that crashes replicas comes again under new ids and at any
        host; its digest's home knows it and lets it run at most twice.
        """
        while time.monotonic() < run.call.deadline:
            sink.set_wait_reason("a run of the same content")
            await asyncio.sleep(_ADMISSION_RETRY_S)
            admission = await self.request_admission(run)
            if admission is not Admission.WAIT:
                return admission
        return Admission.WAIT

    async def request_admission(self, run: Run) -> Admission:
        """Asks the home of a call's content whether it may run now."""
        for host in self._cluster.digest_homes(run.call.content_digest):
            run.asked_hosts.add(host)
            reply = await self._send(host, run, "admit")
            if isinstance(reply, Success) and not reply.unwrap().failure:
                return Admission(reply.unwrap().admission)
        # Neither home answers: run apart from others rather than not at all,
        # so that a crash still has one cause.
        return Admission.RUN_EXCLUSIVE

    def report_end(self, run: Run, action: str) -> None:
        """Ends the run at every home that was asked, off the answer's path.

        A home that answered too late began the run as well; left open there,
        it would hold up the same content for as long as its lease.
        """
        for host in run.asked_hosts:
            request = self._request(run, action)
            self._background.spawn(
                self._report_until_acknowledged(host, request)
            )

    async def _report_until_acknowledged(
        self, host: str, request: SuspectRequest
    ) -> None:
        """Tells a home that a run ended, also past a silent connection.

        Lost once, the news would leave the run open, and the same content,
        also of another program, would wait for it in vain.
        """
        for _ in range(_REPORT_ATTEMPTS):
            calls = self._cluster.calls(host)
            outcome = await calls.suspect(request, _SUSPECT_TIMEOUT_S)
            if isinstance(outcome, Success):
                return
            await asyncio.sleep(_REPORT_RETRY_S)
        logs.write("run_end_not_heard", home=host)

    def _request(self, run: Run, action: str) -> SuspectRequest:
        digests = (run.call.content_digest,)
        return SuspectRequest(action, digests, run.run_id, self._cluster.host)

    async def _send(
        self, host: str, run: Run, action: str
    ) -> Result[SuspectReply, Failure]:
        request = self._request(run, action)
        calls = self._cluster.calls(host)
        return await calls.suspect(request, _SUSPECT_TIMEOUT_S)
