"""Declarations, their rendering and the active configuration."""

from masticdale_config.active_config import ActiveConfig, RevisionsExport
from masticdale_config.bootstrap import bootstrap_config
from masticdale_config.checks import eligible_engines
from masticdale_config.kinds import (
    Declaration,
    DeclarationKey,
    Kind,
    Template,
    Upstream,
    Workspace,
    caller_key_digest,
    key_of,
    parse,
)
from masticdale_config.peer_sync import RevisionSource, catch_up_from_peers
from masticdale_config.rendered import (
    Budget,
    Limits,
    ProgramBody,
    RenderedConfig,
    RenderedEngine,
    RenderedOrder,
    RenderedProgram,
    RenderedService,
    RenderedUpstream,
    RenderedWorkspace,
    UpstreamTable,
    WorkspaceBudget,
)
from masticdale_config.revisions import (
    AcceptedChange,
    Change,
    ConfigStore,
    Edit,
    Plan,
)
from masticdale_config.state import ABSENT, ConfigState, Revision
from masticdale_config.storage import catch_up
from masticdale_config.watching import ConfigWatcher

__all__ = [
    "ABSENT",
    "AcceptedChange",
    "ActiveConfig",
    "Budget",
    "Change",
    "ConfigState",
    "ConfigStore",
    "ConfigWatcher",
    "Declaration",
    "DeclarationKey",
    "Edit",
    "Kind",
    "Limits",
    "Plan",
    "ProgramBody",
    "RenderedConfig",
    "RenderedEngine",
    "RenderedOrder",
    "RenderedProgram",
    "RenderedService",
    "RenderedUpstream",
    "RenderedWorkspace",
    "Revision",
    "RevisionSource",
    "RevisionsExport",
    "Template",
    "Upstream",
    "UpstreamTable",
    "Workspace",
    "WorkspaceBudget",
    "bootstrap_config",
    "caller_key_digest",
    "catch_up",
    "catch_up_from_peers",
    "eligible_engines",
    "key_of",
    "parse",
]
