"""Renders upstreams and indexes them by name, model and operation."""

import functools
from collections.abc import Iterable

from masticdale_config.kinds import (
    EngineSpec,
    Fencing,
    ServiceSpec,
    Upstream,
)
from masticdale_config.rendered import (
    RenderedEngine,
    RenderedOrder,
    RenderedService,
    RenderedUpstream,
    UpstreamTable,
)


def render_upstream(upstream: Upstream) -> RenderedUpstream:
    """Renders the declaration of an upstream."""
    return _render_spec(upstream.spec, upstream)


@functools.singledispatch
def _render_spec(spec: object, upstream: Upstream) -> RenderedUpstream:
    raise TypeError(f"{upstream.name}: cannot render a {type(spec)}")


@_render_spec.register
def _(spec: EngineSpec, upstream: Upstream) -> RenderedUpstream:
    return RenderedEngine(
        name=upstream.name,
        digest=upstream.digest,
        address=spec.address,
        failure_domain=spec.failure_domain,
        replica=spec.replica or upstream.name,
        enforces_fencing=spec.fencing is Fencing.OBEYED,
        draining=spec.draining,
        model=spec.model,
        slots=spec.slots,
        prefill_tokens_per_s=spec.prefill_tokens_per_s,
        restore_interval=spec.restore_interval,
        cache_tokens=spec.cache_tokens,
        transfer_tokens_per_s=spec.transfer_tokens_per_s,
        orders=tuple(RenderedOrder(o.kind, o.argument) for o in spec.orders),
    )


@_render_spec.register
def _(spec: ServiceSpec, upstream: Upstream) -> RenderedUpstream:
    return RenderedService(
        name=upstream.name,
        digest=upstream.digest,
        address=spec.address,
        failure_domain=spec.failure_domain,
        replica=spec.replica or upstream.name,
        enforces_fencing=spec.fencing is Fencing.OBEYED,
        draining=spec.draining,
        repeatable_by_operation={
            name: operation.repeatable
            for name, operation in sorted(spec.operations.items())
        },
        lookup=spec.lookup,
        timeout_s=spec.timeout_s,
    )


def table(upstreams: Iterable[RenderedUpstream]) -> UpstreamTable:
    """Returns the indexes of upstreams; each entry is sorted by name."""
    by_name = {u.name: u for u in sorted(upstreams, key=_name)}
    by_model: dict[str, tuple[RenderedEngine, ...]] = {}
    by_operation: dict[str, tuple[RenderedService, ...]] = {}
    for upstream in by_name.values():
        if isinstance(upstream, RenderedEngine):
            engines = by_model.get(upstream.model, ())
            by_model[upstream.model] = (*engines, upstream)
            continue
        for operation in upstream.repeatable_by_operation:
            services = by_operation.get(operation, ())
            by_operation[operation] = (*services, upstream)
    return UpstreamTable(by_name, by_model, by_operation)


def _name(upstream: RenderedUpstream) -> str:
    return upstream.name
