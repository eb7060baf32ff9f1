"""Thrift services between hosts: RPCs and conversion of their messages.

A message is a data class with the name and the fields of a thrift struct, so
one generic conversion serves all of them.
"""

import dataclasses
import functools
import importlib.resources
import typing
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import thriftpy2

from masticdale_common import ErrorKind, Failure

_NO_RETRY_AFTER = -1

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")
MessageT = TypeVar("MessageT")


@dataclasses.dataclass(frozen=True, slots=True)
class Rpc(Generic[RequestT, ReplyT]):
    """One method of a service.

    Attributes:
        name: Method name in the service's IDL.
        request_type: Data class of the argument.
        reply_type: Data class of the reply.
    """

    name: str
    request_type: type[RequestT]
    reply_type: type[ReplyT]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDefinition:
    """The thriftpy2 types of a service.

    Attributes:
        structs: Has an attribute for each struct.
        service: Has ``NAME_args`` and ``NAME_result`` for each RPC.
    """

    structs: Any
    service: Any


def parse_idl(package: str, idl: str, service: str) -> ServiceDefinition:
    """Returns the thriftpy2 types that an IDL file declares.

    Args:
        package: Package that contains the file.
        idl: File name, ending in ``.thrift``.
        service: Name of the service in the file.
    """
    path = importlib.resources.files(package) / idl
    module_name = f"{package}_{idl.removesuffix('.thrift')}_thrift"
    structs = thriftpy2.load(str(path), module_name=module_name)
    return ServiceDefinition(structs, getattr(structs, service))


class Contract:
    """A service: its RPCs and the conversion of their messages.

    Attributes:
        rpc_by_name: The RPCs by name.
    """

    def __init__(
        self,
        load: Callable[[], "ServiceDefinition"],
        rpcs: tuple[Rpc[Any, Any], ...],
        nested_types: tuple[type[Any], ...] = (),
    ) -> None:
        """Prepares the conversion; the structs are loaded on first use.

        Args:
            load: Loads or builds the structs.
            rpcs: The RPCs.
            nested_types: Messages that occur only as fields of others.
        """
        self._load = load
        self.rpc_by_name = {rpc.name: rpc for rpc in rpcs}
        self._codecs_by_type = {
            t: self._codecs(t) for t in (*nested_types, *_rpc_types(rpcs))
        }

    @functools.cached_property
    def _definition(self) -> "ServiceDefinition":
        return self._load()

    @property
    def service(self) -> Any:
        """Has ``NAME_args`` and ``NAME_result`` for each RPC."""
        return self._definition.service

    @property
    def _idl(self) -> Any:
        return self._definition.structs

    def to_wire(self, message: Any) -> Any:
        """Converts a message to its thrift struct."""
        message_type = type(message)
        struct = getattr(self._idl, message_type.__name__)()
        for codec in self._codecs_by_type[message_type]:
            value = getattr(message, codec.name)
            if codec.encode is not None:
                value = codec.encode(value)
            setattr(struct, codec.name, value)
        return struct

    def from_wire(self, message_type: type[MessageT], struct: Any) -> MessageT:
        """Converts a thrift struct to its message.

        Args:
            message_type: Data class that mirrors the struct.
            struct: Struct decoded by thriftpy2; None if an older host left
                the field out.
        """
        values = {}
        for codec in self._codecs_by_type[message_type]:
            value = getattr(struct, codec.name, None)
            values[codec.name] = codec.decode(value)
        return message_type(**values)

    def _codecs(self, message_type: type[Any]) -> tuple["_FieldCodec", ...]:
        hint_by_field = typing.get_type_hints(message_type)
        return tuple(self._codec(n, h) for n, h in hint_by_field.items())

    def _codec(self, name: str, hint: Any) -> "_FieldCodec":
        if hint == Failure | None:
            return _FieldCodec(name, self._failure_to_wire, _failure_from_wire)
        if dataclasses.is_dataclass(hint):
            message_type: Any = hint
            decode_message = functools.partial(self.from_wire, message_type)
            return _FieldCodec(name, self.to_wire, decode_message)
        if typing.get_origin(hint) is not tuple:
            return _FieldCodec(
                name, None, functools.partial(_value_or_zero, hint)
            )
        item = self._codec(name, typing.get_args(hint)[0])

        def encode(values: Any) -> Any:
            return [item.encode(v) if item.encode else v for v in values]

        def decode(values: Any) -> Any:
            return tuple(item.decode(value) for value in values or ())

        return _FieldCodec(name, encode, decode)

    def _failure_to_wire(self, failure: Failure | None) -> Any:
        if failure is None:
            return None
        retry_after_ms = failure.retry_after_ms
        return self._idl.WireFailure(
            kind=failure.kind.value,
            detail=failure.detail,
            retry_after_ms=(
                _NO_RETRY_AFTER if retry_after_ms is None else retry_after_ms
            ),
            host=failure.host,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldCodec:
    """Conversion of one field.

    Attributes:
        name: Field name.
        encode: Converts to the struct's value; None if both are equal.
        decode: Converts to the message's value.
    """

    name: str
    encode: Callable[[Any], Any] | None
    decode: Callable[[Any], Any]


def _value_or_zero(hint: Any, value: Any) -> Any:
    # An older host leaves new fields out, and thriftpy2 reads them as None.
    # They get thrift's zero value of their type, so that two versions can run
    # side by side during a rolling restart.
    return hint() if value is None else value


def _failure_from_wire(struct: Any) -> Failure | None:
    if struct is None:
        return None
    retry_after_ms = struct.retry_after_ms
    if retry_after_ms is not None and retry_after_ms < 0:
        retry_after_ms = None
    detail = struct.detail or ""
    try:
        kind = ErrorKind(struct.kind)
    except ValueError:
        # The kind comes from a newer version. INTERNAL does not say whether
        # the request ran, so nobody can wrongly conclude that it did not.
        kind, detail = ErrorKind.INTERNAL, f"{struct.kind}: {detail}"
    return Failure(kind, detail, retry_after_ms, struct.host or "")


def _rpc_types(rpcs: tuple[Rpc[Any, Any], ...]) -> tuple[type[Any], ...]:
    return tuple(t for rpc in rpcs for t in (rpc.request_type, rpc.reply_type))
