"""Simulated application replicas, each behind its own queue."""

import asyncio
import dataclasses
import math

from masticdale_load.experiments import Deployment
from masticdale_load.gates import AdmissionGate
from masticdale_routing import (
    Candidate,
    Granted,
    InFlightSettings,
    LeastInFlight,
    PlacementRequest,
    QueueOrder,
    QueueSettings,
    Ticket,
    TicketResult,
    create_replica_queue,
    place,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A tool call that an application replica serves.

    Attributes:
        call_id: Id of the call.
        program_id: Id of the calling program.
        workspace: Workspace of the program.
        priority: Priority class; 0 is the highest.
        duration_s: Service time in seconds.
    """

    call_id: str
    program_id: str
    workspace: str
    priority: int
    duration_s: float


class Services:
    """Sends each tool call to the replica with the fewest in flight."""

    def __init__(
        self, gate_by_replica: dict[str, AdmissionGate], hop_s: float
    ) -> None:
        self._gate_by_replica = gate_by_replica
        self._hop_s = hop_s
        self._loop = asyncio.get_running_loop()

    async def run(self, call: ServiceCall) -> None:
        """Runs a call to completion; a refused call ends at once."""
        request = PlacementRequest(call.program_id, 0)
        placed = place(request, self._candidates(), LeastInFlight())
        gate = self._gate_by_replica[placed.unwrap().replica]
        await asyncio.sleep(2 * self._hop_s)
        admission = await gate.wait(self._ticket(call))
        if not isinstance(admission, Granted):
            return
        await asyncio.sleep(call.duration_s)
        result = TicketResult(service_s=call.duration_s)
        gate.finish(call.call_id, result)

    def _candidates(self) -> list[Candidate]:
        now = self._loop.time()
        return [
            Candidate(
                replica,
                "",
                in_flight=gate.queue.in_flight(now) + gate.queue.waiting,
            )
            for replica, gate in self._gate_by_replica.items()
        ]

    def _ticket(self, call: ServiceCall) -> Ticket:
        return Ticket(
            call.call_id,
            "host",
            call.workspace,
            call.program_id,
            call.priority,
            self._loop.time(),
            math.inf,
            attained_s=1.0,
        )


def create_services(deployment: Deployment) -> Services:
    """Returns the simulated application replicas of a deployment."""
    slots = deployment.application_slots
    queue_settings = QueueSettings(
        order=QueueOrder.FIRST_COME,
        in_flight=InFlightSettings(initial=slots, maximum=slots),
    )
    replicas = [
        f"application-{n}" for n in range(deployment.application_replicas)
    ]
    gate_by_replica = {
        replica: AdmissionGate(create_replica_queue(replica, queue_settings))
        for replica in replicas
    }
    return Services(gate_by_replica, deployment.hop_s)
