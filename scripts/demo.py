"""Starts a system on loopback, runs two programs and stops the system.

The system consists of three daemons, nine model engines, two services and a
platform stand-in, each in a process of its own. The calls of both programs go
through all hosts, with a sub-agent and tool pauses.
"""

import concurrent.futures
import itertools
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from typing import Any

import httpx

from masticdale_config import Declaration
from masticdale_config.testing import (
    HALVORSEN_KEY,
    TENGRI_KEY,
    halvorsen,
    tengri_trails,
)
from masticdale_standins.clusters import (
    OPERATOR_TOKEN,
    ClusterPlan,
    LocalCluster,
    fast_engine,
    select_declarations,
    start_cluster,
    start_daemons,
)
from masticdale_standins.settings import PlatformSettings, ServiceSettings

HOSTS = 3
TOOL_PAUSE_S = 1.0
TIMEOUT_S = 30.0
SHOWN_CHARACTERS = 40


class DemoProgram:
    """Caller of one program that sends each call to the next host."""

    def __init__(self, label: str, key: str, urls: Iterator[str]) -> None:
        self._label = label
        self._urls = urls
        self._numbers = itertools.count()
        self._http = httpx.Client(
            headers={"authorization": f"Bearer {key}"},
            timeout=TIMEOUT_S,
            trust_env=False,
        )
        self._path = "/v1/programs"

    def begin(self, kind: str) -> None:
        """Creates the program."""
        answer = self._post("", {"request_id": self._label, "program": kind})
        self._path += f"/{answer['program_id']}"
        self._print_step("began", kind, answer["program_id"])

    def turn(self, message: str, branch: str = "main") -> None:
        """Sends a message and prints the start of the response."""
        body = {"message": message, "branch": branch, "max_tokens": 64}
        answer = self._post("/turns", body | self._request_id())
        self._print_step(
            f"turn on {branch}",
            f"{answer['text'][:SHOWN_CHARACTERS]}...",
            f"{answer['cached_tokens']} of {answer['prompt_tokens']} prompt"
            f" tokens cached at {answer['replica']}",
        )

    def call(self, operation: str, **payload: Any) -> None:
        """Calls a service."""
        body = {"operation": operation, "payload": payload}
        answer = self._post("/calls", body | self._request_id())
        self._print_step("call", operation, answer["status"])

    def branch(self, name: str) -> None:
        """Opens a branch for a sub-agent."""
        self._post("/branches", {"branch": name})
        self._print_step("sub-agent", name, "opened")

    def end(self) -> None:
        """Ends the program."""
        answer = self._post("/end", {})
        self._print_step(
            "ended",
            answer["state"],
            f"{answer['turns_spent']} turns, {answer['calls_spent']} calls,"
            f" {answer['tokens_spent']} tokens",
        )

    def _request_id(self) -> dict[str, str]:
        return {"request_id": f"{self._label}-{next(self._numbers)}"}

    def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        url = next(self._urls)
        self._host = url
        response = self._http.post(url + self._path + path, json=body)
        response.raise_for_status()
        answer: dict[str, Any] = response.json()
        return answer

    def _print_step(self, *parts: str) -> None:
        port = self._host.rsplit(":", 1)[1]
        print(f"[{self._label}] via :{port} ", " | ".join(parts), flush=True)


def run_permit(urls: Iterator[str]) -> None:
    """Runs a permit dossier program of Tengri Trails."""
    program = DemoProgram("permit", TENGRI_KEY, urls)
    program.begin("dossier-build")
    program.turn("Assemble the dossier of the Karakol party of six.")
    program.branch("maps")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        sub_agent = pool.submit(program.turn, "Check the zones.", "maps")
        program.turn("Draft the cover letter meanwhile.")
        sub_agent.result()
    program.call("zones.lookup", zone="Inylchek")
    time.sleep(TOOL_PAUSE_S)
    program.turn("The zone office answered: open. Finish the file.")
    program.call("permits.file", party=6, zone="Inylchek")
    program.end()


def run_renewal(urls: Iterator[str]) -> None:
    """Runs a prescription renewal program of Halvorsen."""
    program = DemoProgram("renewal", HALVORSEN_KEY, urls)
    program.begin("prescription-renewal")
    program.turn("The wearer asks to renew; the last exam was in March.")
    program.call("stock.check", lens="daily -2.25")
    time.sleep(TOOL_PAUSE_S)
    program.turn("In stock. The optometrist approved.")
    program.call("shipments.place", boxes=2)
    program.call("cards.charge", cents=5400)
    program.turn("Write the confirmation.")
    program.end()


def demo_plan() -> ClusterPlan:
    """Returns the cluster plan of the demo."""
    engines = [f"permit-{n + 1}" for n in range(5)]
    engines += [f"refill-{n + 1}" for n in range(4)]
    hosts = tuple(f"host-{n + 1}" for n in range(HOSTS))
    return ClusterPlan(
        hosts=HOSTS,
        engines={name: fast_engine() for name in engines},
        services={
            name: ServiceSettings(port=1, duration_ms=20)
            for name in ("permit-desk-1", "optical-1")
        },
        platform=PlatformSettings(port=1, hosts=hosts),
    )


def apply(cluster: LocalCluster, declarations: list[Declaration]) -> None:
    """Applies declarations with masticctl."""
    servers = [h.operators_url for h in cluster.daemon_by_name.values()]
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        token_file = folder / "token"
        token_file.write_text(OPERATOR_TOKEN)
        declarations_folder = folder / "declarations"
        declarations_folder.mkdir()
        for number, declaration in enumerate(declarations):
            text = declaration.model_dump_json()
            (declarations_folder / f"{number}.json").write_text(text)
        base_command = [
            str(pathlib.Path(sys.executable).with_name("masticctl")),
            f"--server={','.join(servers)}",
            f"--token-file={token_file}",
        ]
        for command in (
            ["apply", str(declarations_folder), "--yes", "--reason=demo"],
            ["status", "--wait"],
        ):
            print(f"$ masticctl {command[0]}", flush=True)
            subprocess.run([*base_command, *command], check=True)


def run(cluster: LocalCluster, plan: ClusterPlan) -> None:
    """Applies the sample declarations and runs both programs."""
    declarations = select_declarations(
        (*tengri_trails(), *halvorsen()), cluster
    )
    start_daemons(cluster, plan)
    urls = [handle.callers_url for handle in cluster.daemon_by_name.values()]
    print(f"{HOSTS} daemons serve callers at {', '.join(urls)}")
    apply(cluster, [cluster.with_local_address(d) for d in declarations])
    run_permit(itertools.cycle(urls))
    run_renewal(itertools.cycle(reversed(urls)))
    for service in cluster.service_by_name:
        for execution in cluster.executions(service):
            print(
                f"{service} ran {execution['operation']}"
                f" {execution['count']} time(s)"
            )


def main() -> int:
    """Runs the demo.

    Returns:
        The exit code.
    """
    plan = demo_plan()
    print("starting the platform, nine engines and two services")
    cluster = start_cluster(plan)
    try:
        run(cluster, plan)
    finally:
        cluster.stop()
        print("stopped everything that was started")
    return 0


if __name__ == "__main__":
    sys.exit(main())
