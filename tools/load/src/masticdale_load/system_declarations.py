"""Configuration of a fault run: small versions of both deployments."""

import dataclasses

from masticdale_config import Declaration
from masticdale_config.testing import (
    HALVORSEN,
    HALVORSEN_KEY,
    TENGRI,
    TENGRI_KEY,
    engine,
    program,
    service,
    template,
    workspace,
)

TURN_LIMIT = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Names and keys of one deployment.

    Attributes:
        workspace: Name of the workspace.
        key: Caller key.
        model: Name of the model.
        engine_prefix: Prefix of the engine names.
        service_prefix: Prefix of the service names.
        program: Kind of most programs.
        short_program: Kind with a budget of ``TURN_LIMIT`` turns.
        system_prompt: System prompt of both kinds.
        repeatable: Name of an idempotent operation.
        unrepeatable: Name of an operation that is not idempotent.
    """

    workspace: str
    key: str
    model: str
    engine_prefix: str
    service_prefix: str
    program: str
    short_program: str
    system_prompt: str
    repeatable: str
    unrepeatable: str

    def engines(self, count: int) -> tuple[str, ...]:
        """Returns the names of the first ``count`` engines."""
        return tuple(f"{self.engine_prefix}-{i + 1}" for i in range(count))

    def services(self, count: int) -> tuple[str, ...]:
        """Returns the names of the first ``count`` services."""
        return tuple(f"{self.service_prefix}-{i + 1}" for i in range(count))


DEPLOYMENTS = (
    Deployment(
        workspace=TENGRI,
        key=TENGRI_KEY,
        model="permit-70b",
        engine_prefix="permit",
        service_prefix="permit-desk",
        program="dossier-build",
        short_program="route-check",
        system_prompt="Build permit files.",
        repeatable="zones.lookup",
        unrepeatable="permits.file",
    ),
    Deployment(
        workspace=HALVORSEN,
        key=HALVORSEN_KEY,
        model="refill-34b",
        engine_prefix="refill",
        service_prefix="optical",
        program="prescription-renewal",
        short_program="refill-questions",
        system_prompt="Renew prescriptions.",
        repeatable="stock.check",
        unrepeatable="shipments.place",
    ),
)


def declare(
    deployment: Deployment, engine_count: int, service_count: int
) -> tuple[Declaration, ...]:
    """Returns a deployment's declarations.

    Args:
        deployment: The deployment.
        engine_count: Number of engines.
        service_count: Number of services.
    """
    engines = [
        engine(name, deployment.model, i)
        for i, name in enumerate(deployment.engines(engine_count))
    ]
    operations = {deployment.repeatable: True, deployment.unrepeatable: False}
    services = [
        service(name, operations, i)
        for i, name in enumerate(deployment.services(service_count))
    ]
    kind = program(
        deployment.program,
        system_prompt=deployment.system_prompt,
        priority=1,
        tools=list(operations),
    )
    short = program(
        deployment.short_program,
        system_prompt=deployment.system_prompt,
        priority=0,
        tools=[deployment.repeatable],
        budget={
            "tokens": 400_000,
            "calls": 20,
            "turns": TURN_LIMIT,
            "wall_time_s": 3600,
        },
    )
    upstreams = [u.name for u in (*engines, *services)]
    return (
        template(f"{deployment.workspace}-template", kind, short),
        *engines,
        *services,
        workspace(
            deployment.workspace,
            f"{deployment.workspace}-template",
            upstreams,
            deployment.key,
            parameters={"model": deployment.model},
        ),
    )
