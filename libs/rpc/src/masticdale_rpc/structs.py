"""Thrift structs built from data classes, without parsing an IDL.

Parsing the IDL would delay every start, and a killed host serves nobody until
it has restarted. The IDL remains the reference; a test compares it with the
structs built here.
"""

import dataclasses
import types
import typing
from typing import Any

from thriftpy2.thrift import TPayload, TType, gen_init

from masticdale_common import Failure
from masticdale_rpc.contracts import Rpc, ServiceDefinition

_TYPE_BY_HINT = {
    str: TType.STRING,
    bytes: TType.BINARY,
    int: TType.I64,
    bool: TType.BOOL,
    float: TType.DOUBLE,
}


def build_structs(
    rpcs: tuple[Rpc[Any, Any], ...], nested_types: tuple[type[Any], ...]
) -> ServiceDefinition:
    """Builds the structs of a service whose integers are all 64 bits wide.

    Args:
        rpcs: The RPCs.
        nested_types: Messages that occur as fields of others, each after the
            messages that it contains.
    """
    builder = _StructBuilder()
    for message_type in nested_types:
        builder.add(message_type)
    service = types.SimpleNamespace()
    for rpc in rpcs:
        request = builder.add(rpc.request_type)
        reply = builder.add(rpc.reply_type)
        arguments = {1: (TType.STRUCT, "request", request, False)}
        result = {0: (TType.STRUCT, "success", reply, False)}
        setattr(service, f"{rpc.name}_args", _struct("args", arguments))
        setattr(service, f"{rpc.name}_result", _struct("result", result))
    return ServiceDefinition(builder.structs, service)


class _StructBuilder:
    def __init__(self) -> None:
        self.structs = types.SimpleNamespace()
        failure = {
            1: (TType.STRING, "kind", False),
            2: (TType.STRING, "detail", False),
            3: (TType.I64, "retry_after_ms", False),
            4: (TType.STRING, "host", False),
        }
        self.structs.WireFailure = _struct("WireFailure", failure)

    def add(self, message_type: type[Any]) -> Any:
        """Returns the struct of a message, built on first use."""
        name = message_type.__name__
        if not hasattr(self.structs, name):
            hints = typing.get_type_hints(message_type)
            fields = dataclasses.fields(message_type)
            spec = {
                number: self._field(field.name, hints[field.name])
                for number, field in enumerate(fields, start=1)
            }
            setattr(self.structs, name, _struct(name, spec))
        return getattr(self.structs, name)

    def _field(self, name: str, hint: Any) -> tuple[Any, ...]:
        if hint == Failure | None:
            return (TType.STRUCT, name, self.structs.WireFailure, False)
        if dataclasses.is_dataclass(hint):
            return (TType.STRUCT, name, self.add(typing.cast(Any, hint)), False)
        if typing.get_origin(hint) is not tuple:
            return (_TYPE_BY_HINT[hint], name, False)
        item = typing.get_args(hint)[0]
        if dataclasses.is_dataclass(item):
            element: Any = (TType.STRUCT, self.add(typing.cast(Any, item)))
        else:
            element = _TYPE_BY_HINT[item]
        return (TType.LIST, name, element, False)


def _struct(name: str, spec: dict[int, tuple[Any, ...]]) -> Any:
    defaults = [(field[1], None) for field in spec.values()]
    attributes = {"thrift_spec": spec, "default_spec": defaults}
    struct = type(name, (TPayload,), attributes)
    return gen_init(struct, spec, defaults)
