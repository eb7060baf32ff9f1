"""A replica is silent for a while in streams that can't be resumed.

See claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
case could not run.
"""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

_SERVICE = "lens-models"
_EVENTS = 12
_EVENT_INTERVAL_S = 0.03
# A request is preempted after this event and then read again from the start.
_PREEMPTED_AFTER = 4
_PREEMPTED_SHARE = 0.25
_SILENT_S = 1.4
# Time after which clients abandon a stream without events: the longest of 2 s,
# four times the objective of 250 ms and eight times the pause of 400 ms.
_PATIENCE_S = 3.2
_DEADLINE_MS = 4000
_GRACE_S = 8.0
_STREAMS_PER_S = 20
# Streams are begun until this long after SIGTERM, so that each has its time.
_BEGUN_UNTIL_S = 2.0


class Engine(standins.Replica):
    """A model replica that preempts some of its requests."""

    def __init__(self, *, preempts: bool) -> None:
        super().__init__(_SERVICE, slots=64)
        self.finished: set[str] = set()
        self.left: dict[str, float] = {}
        self._preempts = preempts
        self._random = random.Random(3)

    async def run(
        self, request: standins.Message, writer: asyncio.StreamWriter
    ) -> None:
        """See ``Replica.run``; notes when its client has left."""
        self.note(request)
        request_id = self.request_id(request)
        is_preempted = (
            self._preempts and self._random.random() < _PREEMPTED_SHARE
        )
        self.write_head(request, writer)
        for number in range(1, _EVENTS + 1):
            self.write_event(number, f"{request_id} {number}", writer)
            pause_s = _EVENT_INTERVAL_S
            if is_preempted and number == _PREEMPTED_AFTER:
                pause_s = _SILENT_S
            if await self._is_left(writer, pause_s):
                self.left[request_id] = time.monotonic()
                return
        writer.write(b"0\r\n\r\n")
        self.finished.add(request_id)

    async def _is_left(
        self, writer: asyncio.StreamWriter, pause_s: float
    ) -> bool:
        """Pauses; returns early with True once the channel is closed."""
        end = time.monotonic() + pause_s
        while time.monotonic() < end:
            await asyncio.sleep(min(0.02, pause_s))
            if writer.is_closing():
                return True
        return False


class Case:
    """Two entry hosts before an engine, and clients of one of them."""

    def __init__(self, folder: pathlib.Path, record: standins.Record) -> None:
        self.folder = folder
        self.record = record
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = standins.Store()
        self.engine = Engine(preempts=has_trouble)
        self.hosts: list[standins.HostProcess] = []
        self.answer_by_id: dict[str, standins.Answer] = {}

    async def start(self) -> bool:
        """Starts everything; returns whether the hosts are ready."""
        await self.store.start()
        route = {
            "name": "refill-chat",
            "path_prefix": "/chat/",
            "kind": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 250,
            "gap_aim_ms": 400,
            "priority": 1,
            "service": _SERVICE,
            "max_attempts": 1,
            "resumable": False,
        }
        services = [
            {
                "name": _SERVICE,
                "max_connections": 170,
                "engine": {"tokens_per_event": 22},
            }
        ]
        config = standins.configuration([route], services)
        self.store.put("config", "main", config)
        await self.engine.start()
        self.store.put("servers", self.engine.id, self.engine.entry())
        for number in (1, 2):
            host = standins.HostProcess(
                self.folder, f"edge-{number}", "entry", "a", self.store
            )
            self.hosts.append(host)
        seeds = [f"{h.address}:{h.peers_port}" for h in self.hosts]
        for host in self.hosts:
            host.settings["seeds"] = seeds
            host.start()
        return all([await host.wait_ready() for host in self.hosts])

    async def run(self) -> int:
        """Returns the exit code."""
        if not await self.start():
            self.record.say("a host did not become ready")
            return 2
        # More than contact_ms, so that the host is in touch.
        await asyncio.sleep(5.0)
        stopped = self.hosts[0]
        streams: set[asyncio.Task[None]] = set()
        began_at = time.monotonic()
        term_at = 0.0
        number = 0
        while not term_at or time.monotonic() < term_at + _BEGUN_UNTIL_S:
            number += 1
            streams.add(asyncio.create_task(self._send(stopped, number)))
            await asyncio.sleep(1 / _STREAMS_PER_S)
            if not term_at and time.monotonic() > began_at + 3.0:
                stopped.signal(signal.SIGTERM)
                term_at = time.monotonic()
                self.record.say("SIGTERM to edge-1")
        await asyncio.wait(streams)
        return self._judge(term_at)

    def _judge(self, term_at: float) -> int:
        for run in self.engine.runs:
            self.record.write(f"{run.request_id} runs", run.at)
        for request_id, at in self.engine.left.items():
            self.record.write(f"{request_id}: its channel was closed", at)
        counted = {
            request_id: answer
            for request_id, answer in self.answer_by_id.items()
            if term_at < answer.ended_at < term_at + _GRACE_S * 5 / 6
        }
        cut = {
            request_id: answer
            for request_id, answer in counted.items()
            if request_id in self.engine.left and not answer.is_served
        }
        whole = sum(a.is_served for a in self.answer_by_id.values())
        self.record.say(
            f"{whole} of {len(self.answer_by_id)} streams whole;"
            f" {len(counted)} ended after SIGTERM"
        )
        for request_id, answer in cut.items():
            lasted_s = answer.ended_at - answer.sent_at
            self.record.write(f"{request_id} cut after {lasted_s:.2f} s")
        self.record.say(
            f"{len(cut)} streams were cut after SIGTERM, within their deadline,"
            " while the replica was at work"
        )
        if not whole:
            return 2
        return 1 if cut else 0

    async def _send(self, host: standins.HostProcess, number: int) -> None:
        request_id = f"s{number:05d}"
        headers = {
            "Request-Id": request_id,
            "Deadline-Ms": str(_DEADLINE_MS),
            "Token-Usage": "1460,264",
            "Model": "m",
        }
        answer = await standins.send(
            host.address,
            host.callers_port,
            "POST",
            "/chat/2f",
            headers,
            b"input",
            timeout_s=_PATIENCE_S + _SILENT_S,
        )
        self.answer_by_id[request_id] = answer
        outcome = "whole" if answer.is_served else "not whole"
        self.record.write(f"{request_id} sent", answer.sent_at)
        self.record.write(
            f"{request_id} ended: {answer.status}, {outcome}", answer.ended_at
        )

    async def stop(self) -> None:
        """Ends all processes that were started."""
        for host in self.hosts:
            host.kill()
        for server in (self.store, self.engine):
            await server.stop()


async def main() -> int:
    """Runs the case; returns the exit code."""
    folder = standins.temporary_folder()
    record = standins.Record(HERE / "record.txt")
    case = Case(folder, record)
    try:
        return await case.run()
    finally:
        await case.stop()
        record.close()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except OSError as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
