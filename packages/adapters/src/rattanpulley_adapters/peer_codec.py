"""Public API of the peer message codec."""

from rattanpulley_adapters._internal.peers import codec

MalformedMessageError = codec.MalformedMessageError
MAX_MESSAGE_BYTES = codec.MAX_MESSAGE_BYTES
encode = codec.encode
decode = codec.decode
make_unpacker = codec.make_unpacker
