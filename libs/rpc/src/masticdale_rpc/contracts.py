"""Thrift services between hosts: their calls and the structs these carry.

A message is a data class that mirrors the struct of the same name field by
field, so the conversion needs no code of its own for any of them.
"""

import dataclasses
import functools
import importlib.resources
import typing
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import thriftpy2

from masticdale_common import ErrorKind, Failure

_NO_RETRY_TIME = -1

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")
MessageT = TypeVar("MessageT")


@dataclasses.dataclass(frozen=True, slots=True)
class Rpc(Generic[RequestT, ReplyT]):
    """One call of a service.

    Attributes:
        name: Its name in the service's IDL.
        request_type: The data class of its argument.
        reply_type: The data class of its answer.
    """

    name: str
    request_type: type[RequestT]
    reply_type: type[ReplyT]


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """What thriftpy2 needs to read and write a service's messages.

    Attributes:
        structs: Has an attribute for each struct.
        service: Has ``NAME_args`` and ``NAME_result`` of each call.
    """

    structs: Any
    service: Any


def parse_idl(package: str, idl: str, service: str) -> Loaded:
    """Returns the structs that an IDL declares.

    Args:
        package: The package that holds the IDL.
        idl: Name of its file, which ends in ``.thrift``.
        service: Name of the service in it.
    """
    path = importlib.resources.files(package) / idl
    module_name = f"{package}_{idl.removesuffix('.thrift')}_thrift"
    structs = thriftpy2.load(str(path), module_name=module_name)
    return Loaded(structs, getattr(structs, service))


class Contract:
    """A service and the structs that its calls carry.

    Attributes:
        rpc_by_name: The calls.
    """

    def __init__(
        self,
        load: Callable[[], "Loaded"],
        rpcs: tuple[Rpc[Any, Any], ...],
        inner_types: tuple[type[Any], ...] = (),
    ) -> None:
        """Prepares the conversions; the structs are made on first use.

        Args:
            load: Makes the structs.
            rpcs: The calls.
            inner_types: Messages that stand inside others only.
        """
        self._load = load
        self.rpc_by_name = {rpc.name: rpc for rpc in rpcs}
        self._codecs_by_type = {
            t: self._codecs(t) for t in (*inner_types, *_outer_types(rpcs))
        }

    @functools.cached_property
    def _loaded(self) -> "Loaded":
        return self._load()

    @property
    def service(self) -> Any:
        """Holds ``NAME_args`` and ``NAME_result`` of each call."""
        return self._loaded.service

    @property
    def _idl(self) -> Any:
        return self._loaded.structs

    def to_wire(self, message: Any) -> Any:
        """Returns the thrift struct of a message."""
        message_type = type(message)
        struct = getattr(self._idl, message_type.__name__)()
        for codec in self._codecs_by_type[message_type]:
            value = getattr(message, codec.name)
            if codec.encode is not None:
                value = codec.encode(value)
            setattr(struct, codec.name, value)
        return struct

    def from_wire(self, message_type: type[MessageT], struct: Any) -> MessageT:
        """Returns the message of a thrift struct.

        Args:
            message_type: The data class that mirrors the struct.
            struct: What thriftpy2 decoded; None where an older host does not
                know the message.
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
            return _FieldCodec(name, None, functools.partial(_or_zero, hint))
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
                _NO_RETRY_TIME if retry_after_ms is None else retry_after_ms
            ),
            host=failure.host,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldCodec:
    """How one field is converted.

    Attributes:
        name: The field.
        encode: Makes the struct's value; None where it is the same.
        decode: Makes the message's value.
    """

    name: str
    encode: Callable[[Any], Any] | None
    decode: Callable[[Any], Any]


def _or_zero(hint: Any, value: Any) -> Any:
    # A host of an earlier version leaves new fields out; thriftpy2 reads them
    # as None. They take their type's zero, as thrift defines it, so that hosts
    # of two versions understand each other during a rolling restart.
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
        # A later version's kind: INTERNAL claims nothing about whether the
        # request ran, so no false "not run" can come of it.
        kind, detail = ErrorKind.INTERNAL, f"{struct.kind}: {detail}"
    return Failure(kind, detail, retry_after_ms, struct.host or "")


def _outer_types(rpcs: tuple[Rpc[Any, Any], ...]) -> tuple[type[Any], ...]:
    return tuple(t for rpc in rpcs for t in (rpc.request_type, rpc.reply_type))
