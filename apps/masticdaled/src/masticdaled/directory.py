"""Looks up the declared upstreams."""

from masticdale_config import (
    ActiveConfig,
    RenderedService,
    RenderedUpstream,
)
from masticdaled.replicas.homes import ReplicaHomes


class UpstreamDirectory:
    """The declared upstreams and whether they accept work."""

    def __init__(self, in_force: ActiveConfig, homes: ReplicaHomes) -> None:
        self._in_force = in_force
        self._homes = homes

    def accepts_work(self, upstream: RenderedUpstream) -> bool:
        """Returns False for an upstream that is draining or leaving."""
        is_leaving = self._homes.is_listed_leaving(upstream.replica)
        return not upstream.draining and not is_leaving

    def services(
        self, workspace_name: str, operation: str
    ) -> list[RenderedService]:
        """Returns the services that offer an operation to a workspace."""
        config = self._in_force.current
        workspace = config.workspace_by_name.get(workspace_name)
        if workspace is None:
            return []
        services = config.upstreams.by_operation.get(operation, ())
        return [s for s in services if s.name in workspace.upstreams]
