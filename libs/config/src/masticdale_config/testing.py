"""Builders and sample declarations of two deployments, for tests."""

import orjson
import pydantic

from masticdale_config import state as states
from masticdale_config.active_config import ActiveConfig
from masticdale_config.kinds import (
    Declaration,
    caller_key_digest,
    key_of,
    parse,
)
from masticdale_config.rendered import RenderedConfig
from masticdale_config.rendering import render
from masticdale_config.revisions import Change, Edit

TENGRI_KEY = "tengri-guide-key"
HALVORSEN_KEY = "halvorsen-wearer-key"
TENGRI = "tengri-trails"
HALVORSEN = "halvorsen-optical"
DOMAIN_COUNT = 4

JsonObject = dict[str, pydantic.JsonValue]


def declaration(kind: str, name: str, spec: JsonObject) -> Declaration:
    """Builds a declaration, which must be valid."""
    text = orjson.dumps({"kind": kind, "name": name, "spec": spec})
    return parse(text).unwrap()


def program(name: str, **fields: pydantic.JsonValue) -> JsonObject:
    """Builds a program kind for a template's body."""
    body: JsonObject = {
        "name": name,
        "model": "${model}",
        "budget": {
            "tokens": 400_000,
            "calls": 200,
            "turns": 160,
            "wall_time_s": 3600,
        },
    }
    return body | fields


def template(name: str, *programs: JsonObject) -> Declaration:
    """Builds a template with the parameters ``model`` and ``brand``."""
    return declaration(
        "Template",
        name,
        {
            "parameters": {
                "model": {"type": "string"},
                "brand": {"type": "string", "default": "the shop"},
            },
            "programs": list(programs),
        },
    )


def engine(name: str, model: str, index: int = 0, port: int = 0) -> Declaration:
    """Builds an engine; ``index`` selects its failure domain and port."""
    return declaration(
        "Upstream",
        name,
        {
            "role": "model",
            "address": f"127.0.0.1:{port or 7001 + index}",
            "failure_domain": f"domain-{index % DOMAIN_COUNT + 1}",
            "model": model,
            "fencing": "obeyed",
            "slots": 8,
            "prefill_tokens_per_s": 8000,
            "restore_interval": 256,
            "cache_tokens": 2_000_000,
        },
    )


def service(
    name: str,
    repeatable_by_operation: dict[str, bool],
    index: int = 0,
    port: int = 0,
) -> Declaration:
    """Builds a service; ``index`` selects its failure domain and port."""
    return declaration(
        "Upstream",
        name,
        {
            "role": "service",
            "address": f"127.0.0.1:{port or 7101 + index}",
            "failure_domain": f"domain-{index % DOMAIN_COUNT + 1}",
            "fencing": "ignored",
            "operations": {
                operation: {"repeatable": repeatable}
                for operation, repeatable in repeatable_by_operation.items()
            },
            "lookup": True,
        },
    )


def workspace(
    name: str,
    template_name: str,
    upstreams: list[str],
    caller_key: str,
    **fields: pydantic.JsonValue,
) -> Declaration:
    """Builds a workspace with one caller key."""
    key: JsonObject = {
        "name": "callers",
        "sha256": caller_key_digest(caller_key),
    }
    spec: JsonObject = {
        "template": template_name,
        "parameters": {"model": "permit-70b"},
        "upstreams": list(upstreams),
        "caller_keys": [key],
    }
    return declaration("Workspace", name, spec | fields)


def tengri_trails() -> tuple[Declaration, ...]:
    """Returns five engines, four services and the Permit Desk."""
    engines = [engine(f"permit-{i + 1}", "permit-70b", i) for i in range(5)]
    operations = {
        "zones.lookup": True,
        "permits.status": True,
        "permits.file": False,
    }
    services = [
        service(f"permit-desk-{i + 1}", operations, i) for i in range(4)
    ]
    return (
        template(
            "permit-desk",
            program(
                "route-check",
                system_prompt="Check itineraries of ${brand}.",
                priority=1,
                tools=["zones.lookup"],
            ),
            program(
                "dossier-build",
                system_prompt="Build permit files of ${brand}.",
                priority=2,
                tools=list(operations),
            ),
            program(
                "status-ping",
                priority=0,
                tools=["permits.status"],
                max_tokens=64,
            ),
        ),
        *engines,
        *services,
        workspace(
            TENGRI,
            "permit-desk",
            [u.name for u in (*engines, *services)],
            TENGRI_KEY,
            parameters={"model": "permit-70b", "brand": "Tengri Trails"},
        ),
    )


def halvorsen() -> tuple[Declaration, ...]:
    """Returns nine engines, four services and the refill workspace."""
    engines = [engine(f"refill-{i + 1}", "refill-34b", i) for i in range(9)]
    operations = {
        "stock.check": True,
        "shipments.place": False,
        "cards.charge": False,
    }
    services = [service(f"optical-{i + 1}", operations, i) for i in range(4)]
    return (
        template(
            "optical-refills",
            program(
                "refill-questions",
                system_prompt="Answer wearers of ${brand}.",
                priority=1,
                tools=["stock.check"],
            ),
            program(
                "prescription-renewal",
                system_prompt="Renew prescriptions for ${brand}.",
                priority=0,
                tools=list(operations),
            ),
        ),
        *engines,
        *services,
        workspace(
            HALVORSEN,
            "optical-refills",
            [u.name for u in (*engines, *services)],
            HALVORSEN_KEY,
            parameters={"model": "refill-34b", "brand": "Halvorsen"},
        ),
    )


def rendered(*declarations: Declaration, revision: int = 1) -> RenderedConfig:
    """Renders declarations."""
    declaration_by_key = {key_of(d): d for d in declarations}
    return render(declaration_by_key, revision).unwrap()


def put(after: Declaration, seen: Declaration | None = None) -> Edit:
    """Builds an edit that puts a declaration.

    Args:
        after: The new declaration.
        seen: The declaration last seen; None if there was none.
    """
    digest = states.ABSENT if seen is None else seen.digest
    return Edit(key_of(after), digest, after)


def change(change_id: str, *edits: Edit, author: str = "ayana") -> Change:
    """Builds a change."""
    return Change(change_id, author, "a test", edits)


def active_config(*declarations: Declaration) -> ActiveConfig:
    """Builds an active configuration with the declarations as revision 1."""
    config = rendered(*declarations)
    revision = states.Revision(
        number=1,
        change_id="first",
        change_digest="",
        author="ayana",
        reason="a test",
        accepted_at_ms=0,
        edits=tuple(
            states.RecordedEdit(
                kind=key_of(d).kind, name=d.name, before=None, after=d
            )
            for d in declarations
        ),
        digest=config.digest,
    )
    active = ActiveConfig()
    active.apply_revisions((states.encode_revision(revision),)).unwrap()
    return active
