"""Encodes data classes as MessagePack arrays with a numeric tag.

Each data class is mirrored by a generated msgspec struct, whose decoder
checks the types of all fields.
"""

import dataclasses
import enum
import functools
import operator
import types as python_types
import typing

import msgspec
from returns import result

from bulrushrudder.protocol import registry


@dataclasses.dataclass(frozen=True, slots=True)
class CodecError:
    """Error for bytes that are not a valid message."""

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Mirror:
    """msgspec struct of a data class and the conversions to and from it."""

    struct: type
    to_wire: typing.Callable
    from_wire: typing.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class _Conversion:
    """Wire type of an annotation and the conversions to and from it.

    A conversion is None if values are encoded as they are.
    """

    annotation: object
    to_wire: typing.Callable | None
    from_wire: typing.Callable | None


def encode(message):
    """Encode an instance of a registered data class.

    :returns: the bytes.
    """
    return _ENCODER.encode(_mirror(type(message)).to_wire(message))


def decode(data):
    """Decode a message.

    :returns: a Success with the message or a Failure with a CodecError;
        does not raise.
    """
    try:
        struct = _decoder().decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Failure(CodecError(str(error)))
    return result.Success(_mirror_of(type(struct)).from_wire(struct))


_ENCODER = msgspec.msgpack.Encoder()


@functools.cache
def _decoder():
    structs = [_mirror(cls).struct for cls in registry.TAG_BY_TYPE]
    return msgspec.msgpack.Decoder(functools.reduce(operator.or_, structs))


@functools.cache
def _mirror_of(struct):
    return _MIRRORS_BY_STRUCT[struct]


_MIRRORS_BY_STRUCT = {}


@functools.cache
def _mirror(cls):
    hints = typing.get_type_hints(cls)
    fields = dataclasses.fields(cls)
    conversions = [(f.name, _conversion_of(hints[f.name])) for f in fields]
    tag = registry.TAG_BY_TYPE.get(cls)
    struct = msgspec.defstruct(
        cls.__name__,
        list(map(_wire_field, fields, (c for _, c in conversions))),
        tag=tag,
        array_like=True,
        frozen=True,
    )
    mirror = _Mirror(
        struct, _to_wire(struct, conversions), _from_wire(cls, conversions)
    )
    _MIRRORS_BY_STRUCT[struct] = mirror
    return mirror


def _wire_field(field, conversion):
    """Return the definition of a field in the mirror struct.

    A field with a default may be missing in encoded data, so that data
    written before the field was added can still be decoded.
    """
    if field.default is dataclasses.MISSING:
        return field.name, conversion.annotation
    default = field.default
    if conversion.to_wire is not None:
        default = conversion.to_wire(default)
    return field.name, conversion.annotation, default


def _to_wire(struct, conversions):
    converters = [(name, c.to_wire) for name, c in conversions]

    def convert(value):
        return struct(
            *[
                _convert(value, name, convert_field)
                for name, convert_field in converters
            ]
        )

    return convert


def _from_wire(cls, conversions):
    converters = [(name, c.from_wire) for name, c in conversions]

    def convert(value):
        return cls(
            *[
                _convert(value, name, convert_field)
                for name, convert_field in converters
            ]
        )

    return convert


def _convert(value, name, convert_field):
    field_value = getattr(value, name)
    return field_value if convert_field is None else convert_field(field_value)


def _conversion_of(annotation):
    """Return the _Conversion of an annotation."""
    origin = typing.get_origin(annotation)
    if dataclasses.is_dataclass(annotation):
        mirror = _mirror(annotation)
        return _Conversion(mirror.struct, mirror.to_wire, mirror.from_wire)
    if origin in (typing.Union, python_types.UnionType):
        return _union_conversion(typing.get_args(annotation))
    if origin is tuple:
        return _tuple_conversion(typing.get_args(annotation))
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return _Conversion(annotation, None, None)
    return _Conversion(annotation, None, None)


def _tuple_conversion(arguments):
    element, *rest = arguments
    if rest != [Ellipsis]:
        raise TypeError(
            f'cannot encode tuple of {arguments}: expected tuple[X, ...]'
        )
    conversion = _conversion_of(element)
    annotation = tuple[conversion.annotation, ...]
    if conversion.to_wire is None:
        return _Conversion(annotation, None, None)
    return _Conversion(
        annotation,
        lambda values: tuple(map(conversion.to_wire, values)),
        lambda values: tuple(map(conversion.from_wire, values)),
    )


def _union_conversion(members):
    classes = [m for m in members if dataclasses.is_dataclass(m)]
    conversions = [_conversion_of(member) for member in members]
    annotation = functools.reduce(
        operator.or_, [c.annotation for c in conversions]
    )
    if not classes:
        return _Conversion(annotation, None, None)
    return _Conversion(annotation, _union_to_wire, _union_from_wire)


def _union_to_wire(value):
    if dataclasses.is_dataclass(value):
        return _mirror(type(value)).to_wire(value)
    return value


def _union_from_wire(value):
    if isinstance(value, msgspec.Struct):
        return _mirror_of(type(value)).from_wire(value)
    return value
