"""Renders declarations into the configuration that the daemon reads.

Rendering is deterministic: it does not depend on the order of declarations or
of their fields, so equal declarations have the same digest on every host.
"""

import dataclasses
from collections.abc import Collection, Iterable, Mapping

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import hashing
from masticdale_config import upstreams, workspaces
from masticdale_config.kinds import (
    DeclarationKey,
    Kind,
    Upstream,
    Workspace,
)
from masticdale_config.problems import FieldProblem
from masticdale_config.rendered import (
    RenderedConfig,
    RenderedWorkspace,
    UpstreamTable,
)
from masticdale_config.workspaces import DeclarationByKey

DIGEST_BITS = 128

EMPTY = RenderedConfig(0, f"{0:032x}", {}, {}, UpstreamTable({}, {}, {}), {})


def render(
    declaration_by_key: DeclarationByKey, revision: int
) -> Result[RenderedConfig, tuple[FieldProblem, ...]]:
    """Renders all declarations.

    Args:
        declaration_by_key: Every declaration.
        revision: Revision number of the result.

    Returns:
        The configuration, or a problem for each field that cannot be rendered.
    """
    return render_change(
        declaration_by_key, revision, EMPTY, declaration_by_key.keys()
    )


def render_change(
    declaration_by_key: DeclarationByKey,
    revision: int,
    previous: RenderedConfig,
    touched: Collection[DeclarationKey],
) -> Result[RenderedConfig, tuple[FieldProblem, ...]]:
    """Renders declarations incrementally.

    Only the workspaces that the change affects are rendered again. Rendering
    thousands of workspaces at each change would stall the host's streams.

    Args:
        declaration_by_key: Every declaration after the change.
        revision: Revision number of the result.
        previous: The configuration before the change.
        touched: Keys of the declarations that the change puts or deletes.

    Returns:
        The same as ``render`` for these declarations.
    """
    found: list[FieldProblem] = []
    names = affected_workspaces(declaration_by_key, touched)
    workspace_by_name = dict(previous.workspace_by_name)
    for name in names:
        workspace_by_name.pop(name, None)
        declaration = declaration_by_key.get(_workspace_key(name))
        if not isinstance(declaration, Workspace):
            continue
        outcome = workspaces.render_workspace(declaration, declaration_by_key)
        if isinstance(outcome, Failed):
            found.extend(outcome.failure())
            continue
        workspace_by_name[name] = outcome.unwrap()
    if found:
        return Failed(tuple(found))
    templates = _template_digests(declaration_by_key, previous, touched)
    config = RenderedConfig(
        revision=revision,
        digest="",
        workspace_by_name=workspace_by_name,
        workspace_by_caller_digest=_workspaces_by_caller_digest(
            previous, workspace_by_name, names
        ),
        upstreams=_upstream_table(declaration_by_key, previous, touched),
        template_digest_by_name=templates,
    )
    digest = _update_digest(previous, config, names, touched)
    return Success(dataclasses.replace(config, digest=digest))


def affected_workspaces(
    declaration_by_key: DeclarationByKey, touched: Collection[DeclarationKey]
) -> list[str]:
    """Returns the sorted names of the workspaces that a change affects.

    Args:
        declaration_by_key: Every declaration after the change.
        touched: Keys of the declarations that the change puts or deletes.
    """
    names = {key.name for key in touched if key.kind is Kind.WORKSPACE}
    templates = {key.name for key in touched if key.kind is Kind.TEMPLATE}
    if templates:
        names.update(
            declaration.name
            for declaration in declaration_by_key.values()
            if isinstance(declaration, Workspace)
            and declaration.spec.template in templates
        )
    return sorted(names)


def _workspaces_by_caller_digest(
    previous: RenderedConfig,
    workspace_by_name: Mapping[str, RenderedWorkspace],
    names: Iterable[str],
) -> dict[str, RenderedWorkspace]:
    workspace_by_digest = dict(previous.workspace_by_caller_digest)
    for name in names:
        before = previous.workspace_by_name.get(name)
        for digest in before.caller_name_by_digest if before else ():
            workspace_by_digest.pop(digest, None)
    for name in names:
        after = workspace_by_name.get(name)
        for digest in after.caller_name_by_digest if after else ():
            # The first workspace keeps the key; checks reject a second one.
            workspace_by_digest.setdefault(digest, workspace_by_name[name])
    return workspace_by_digest


def _upstream_table(
    declaration_by_key: DeclarationByKey,
    previous: RenderedConfig,
    touched: Collection[DeclarationKey],
) -> UpstreamTable:
    keys = [key for key in touched if key.kind is Kind.UPSTREAM]
    if not keys:
        return previous.upstreams
    by_name = dict(previous.upstreams.by_name)
    for key in keys:
        by_name.pop(key.name, None)
        declaration = declaration_by_key.get(key)
        if isinstance(declaration, Upstream):
            by_name[key.name] = upstreams.render_upstream(declaration)
    return upstreams.table(by_name.values())


def _template_digests(
    declaration_by_key: DeclarationByKey,
    previous: RenderedConfig,
    touched: Collection[DeclarationKey],
) -> Mapping[str, str]:
    keys = [key for key in touched if key.kind is Kind.TEMPLATE]
    if not keys:
        return previous.template_digest_by_name
    digest_by_name = dict(previous.template_digest_by_name)
    for key in keys:
        digest_by_name.pop(key.name, None)
        if key in declaration_by_key:
            digest_by_name[key.name] = declaration_by_key[key].digest
    return digest_by_name


def _update_digest(
    previous: RenderedConfig,
    config: RenderedConfig,
    names: Iterable[str],
    touched: Collection[DeclarationKey],
) -> str:
    # The digest is a sum over the declarations. An update therefore costs as
    # much as the change, whatever the number of workspaces, and does not
    # depend on their order.
    keys = {key for key in touched if key.kind is not Kind.WORKSPACE}
    keys.update(_workspace_key(name) for name in names)
    total = int(previous.digest, 16)
    for key in keys:
        total += _term(config, key) - _term(previous, key)
    return f"{total % 2**DIGEST_BITS:032x}"


def _term(config: RenderedConfig, key: DeclarationKey) -> int:
    digest = _digest_of(config, key)
    if digest is None:
        return 0
    return int(hashing.digest(str(key), digest), 16)


def _digest_of(config: RenderedConfig, key: DeclarationKey) -> str | None:
    if key.kind is Kind.TEMPLATE:
        return config.template_digest_by_name.get(key.name)
    if key.kind is Kind.UPSTREAM:
        upstream = config.upstreams.by_name.get(key.name)
        return None if upstream is None else upstream.digest
    workspace = config.workspace_by_name.get(key.name)
    return None if workspace is None else workspace.digest


def _workspace_key(name: str) -> DeclarationKey:
    return DeclarationKey(Kind.WORKSPACE, name)
