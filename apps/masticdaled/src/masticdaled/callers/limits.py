"""Enforces this host's share of the workspaces' cluster-wide limits."""

import time

from returns.result import Result, Success

from masticdale_common import Failure
from masticdale_config import ActiveConfig, RenderedWorkspace
from masticdale_routing import HostShareLimiter, WorkspaceLimits, split_share
from masticdaled.cluster import Cluster

_BURST_S = 2.0


class WorkspaceLimiter:
    """Holds a limiter for each workspace that sends calls to this host."""

    def __init__(self, cluster: Cluster, in_force: ActiveConfig) -> None:
        self._cluster = cluster
        self._in_force = in_force
        self._limiter_by_workspace: dict[str, HostShareLimiter] = {}

    def begin(self, workspace_name: str, turn_id: str) -> Result[None, Failure]:
        """Admits a call if this host's share of the limits allows it.

        Returns:
            None, or LIMIT_REACHED with the time after which to retry.
        """
        workspace = self._in_force.current.workspace_by_name.get(workspace_name)
        if workspace is None:
            return Success(None)
        now = time.monotonic()
        return self._current_limiter(workspace, now).begin(turn_id, now)

    def end(self, workspace_name: str, turn_id: str) -> None:
        """Ends a call; ignores calls that were not admitted."""
        limiter = self._limiter_by_workspace.get(workspace_name)
        if limiter is not None:
            limiter.end(turn_id)

    def _current_limiter(
        self, workspace: RenderedWorkspace, now: float
    ) -> HostShareLimiter:
        limits = WorkspaceLimits(
            workspace.budget.turns,
            workspace.limits.requests_per_s,
            workspace.limits.requests_per_s * _BURST_S,
        )
        share = split_share(
            limits,
            workspace.name,
            self._cluster.host,
            self._cluster.membership.owner_names(),
        )
        limiter = self._limiter_by_workspace.get(workspace.name)
        if limiter is None:
            limiter = HostShareLimiter(share, now)
            self._limiter_by_workspace[workspace.name] = limiter
            return limiter
        limiter.update_share(share, now)
        return limiter
