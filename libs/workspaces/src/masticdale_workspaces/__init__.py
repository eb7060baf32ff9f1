"""Workspaces, their API keys and usage caps; decisions without I/O."""

from masticdale_workspaces.usage import (
    Demand,
    UsageClaim,
    UsageCopy,
    UsageCounter,
    UsageLevel,
    UsageTolerance,
)
from masticdale_workspaces.workspaces import (
    UsageCap,
    Workspace,
    WorkspaceTable,
    digest_key,
)

__all__ = [
    "Demand",
    "UsageCap",
    "UsageClaim",
    "UsageCopy",
    "UsageCounter",
    "UsageLevel",
    "UsageTolerance",
    "Workspace",
    "WorkspaceTable",
    "digest_key",
]
