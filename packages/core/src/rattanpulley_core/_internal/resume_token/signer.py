"""Signed event ids that let a caller reconnect through any daemon.

An event id has the format

    KEY:GENERATION:ATTEMPT:TARGET:VERSION:INDEX:CHAIN:TAG

where TARGET and VERSION are percent-encoded. CHAIN is the value of the keyed
hash chain over the tokens up to and including INDEX. TAG is a keyed digest over
the text before it and over the binding of the generation to account,
fingerprint and version, so that no field can be altered.
"""

from collections.abc import Sequence
import copy
import dataclasses
import hashlib
import hmac
import re
from urllib import parse

DIGEST_BYTES = 16
# Event ids arrive in request headers. Longer ones are rejected before hashing.
MAX_EVENT_ID_CHARS = 1024
_MAX_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE
_KEY_ID_BYTES = 4

_PERSON_KEY_ID = b"rp key id"
_PERSON_BINDING = b"rp binding"
_PERSON_CHAIN = b"rp chain"
_PERSON_TAG = b"rp event id"

_EVENT_ID = re.compile(
    r"(?P<key_id>[0-9a-f]{8}):(?P<generation_id>[0-9a-f]{32})"
    r":(?P<attempt>[1-9][0-9]{0,8}):(?P<target>[!-9;-~]+)"
    r":(?P<version>[!-9;-~]+):(?P<index>0|[1-9][0-9]{0,8})"
    r":(?P<chain>[0-9a-f]{32}):(?P<tag>[0-9a-f]{32})",
    re.ASCII,
)


class ResumeTokenError(Exception):
    """An event id is malformed, altered or belongs to another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class DecodedEventId:
    """A verified event id.

    Attributes:
        key_id: Id of the key that signed the event id; chains must be computed
            with this key.
        generation_id: Id of the generation.
        attempt: Attempt that delivered the token.
        target: Target of that attempt.
        version: Version that the generation is pinned to.
        index: Index of the token.
        chain: Keyed digest over the tokens up to and including `index`.
    """

    key_id: str
    generation_id: str
    attempt: int
    target: str
    version: str
    index: int
    chain: bytes


class EventIdEncoder:
    """Encodes the event ids of one attempt.

    The part that all event ids of the attempt share is hashed only once.
    """

    __slots__ = ("_hasher", "_prefix")

    def __init__(self, key: bytes, binding: bytes, prefix: str) -> None:
        """Creates an encoder.

        Args:
            key: Key that signs, at most 64 bytes.
            binding: Digest that binds the generation to its request.
            prefix: ASCII text of the event id before the index.
        """
        self._prefix = prefix
        self._hasher = hashlib.blake2b(
            binding + prefix.encode("ascii"),
            key=key,
            digest_size=DIGEST_BYTES,
            person=_PERSON_TAG,
        )

    def encode(self, index: int, chain: bytes) -> str:
        """Returns the event id of the token at `index`."""
        position = f"{index}:{chain.hex()}"
        hasher = self._hasher.copy()
        hasher.update(position.encode("ascii"))
        return f"{self._prefix}{position}:{hasher.hexdigest()}"


class Signer:
    """Computes and verifies event ids and token chains."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        """Creates a signer.

        Args:
            keys: Secret keys. The first one signs, all of them verify.

        Raises:
            ValueError: If there is no key or a key is empty.
        """
        if not keys or not all(keys):
            raise ValueError(
                "at least one key is required and no key may be empty"
            )
        self._keys_by_id = {
            _key_id(key): _normalize_key(key) for key in reversed(keys)
        }
        self._use_key(_key_id(keys[0]))

    @property
    def key_id(self) -> str:
        """Id of the key that signs."""
        return self._key_id

    def for_key(self, key_id: str) -> "Signer":
        """Returns a signer that signs with another known key.

        Args:
            key_id: Id of the key; empty for the current signing key.

        Raises:
            ResumeTokenError: If the key is unknown, for example because it was
                rotated out.
        """
        if key_id in ("", self._key_id):
            return self
        if key_id not in self._keys_by_id:
            raise ResumeTokenError("the key of the event id is unknown")
        other = copy.copy(self)
        other._use_key(key_id)
        return other

    def binding(
        self, generation_id: str, account: str, fingerprint: str, version: str
    ) -> bytes:
        """Returns the digest that binds a generation to its request."""
        hasher = hashlib.blake2b(
            key=self._key, digest_size=DIGEST_BYTES, person=_PERSON_BINDING
        )
        for field in (generation_id, account, fingerprint, version):
            data = field.encode("utf-8", "surrogatepass")
            hasher.update(len(data).to_bytes(8, "big"))
            hasher.update(data)
        return hasher.digest()

    def start_chain(self, binding: bytes) -> bytes:
        """Returns the initial value of the hash chain, before the first token.

        Args:
            binding: Digest that binds the generation to its request.
        """
        hasher = self._chain_hasher.copy()
        hasher.update(binding)
        return hasher.digest()

    def extend_chain(self, chain: bytes, token: str) -> bytes:
        """Returns the value of the hash chain after one more token."""
        # Copying a hasher is cheaper than creating one with parameters.
        hasher = self._chain_hasher.copy()
        hasher.update(chain)
        hasher.update(token.encode("utf-8", "surrogatepass"))
        return hasher.digest()

    def encoder(
        self,
        binding: bytes,
        generation_id: str,
        attempt: int,
        target: str,
        version: str,
    ) -> EventIdEncoder:
        """Returns an encoder for the event ids of one attempt.

        Args:
            binding: Result of this signer's `binding` for the same version.
            generation_id: Id of the generation.
            attempt: Number of the attempt.
            target: Name of the attempt's target.
            version: Version of the generation.
        """
        prefix = (
            f"{self._key_id}:{generation_id}:{attempt}"
            f":{parse.quote(target, safe='')}:{parse.quote(version, safe='')}:"
        )
        return EventIdEncoder(self._key, binding, prefix)

    def encode(
        self,
        binding: bytes,
        generation_id: str,
        attempt: int,
        target: str,
        version: str,
        index: int,
        chain: bytes,
    ) -> str:
        """Returns a single event id; `encoder` is cheaper for several."""
        encoder = self.encoder(binding, generation_id, attempt, target, version)
        return encoder.encode(index, chain)

    def decode(
        self, text: str, account: str, fingerprint: str
    ) -> DecodedEventId:
        """Decodes and verifies an event id.

        Args:
            text: The event id.
            account: Client account of the request that carries the event id.
            fingerprint: Fingerprint of that request.

        Raises:
            ResumeTokenError: If the text is malformed, was altered, was signed
                with an unknown key or belongs to another request.
        """
        if len(text) > MAX_EVENT_ID_CHARS:
            raise ResumeTokenError("the event id is too long")
        match = _EVENT_ID.fullmatch(text)
        if match is None:
            raise ResumeTokenError("the event id is malformed")
        decoded = DecodedEventId(
            key_id=match["key_id"],
            generation_id=match["generation_id"],
            attempt=int(match["attempt"]),
            target=parse.unquote(match["target"]),
            version=parse.unquote(match["version"]),
            index=int(match["index"]),
            chain=bytes.fromhex(match["chain"]),
        )
        expected = self.for_key(decoded.key_id)._reencode(
            decoded, account, fingerprint
        )
        if not hmac.compare_digest(expected, text):
            raise ResumeTokenError("the event id belongs to another request")
        return decoded

    def _use_key(self, key_id: str) -> None:
        """Sets the signing key to a known key."""
        self._key_id = key_id
        self._key = self._keys_by_id[key_id]
        self._chain_hasher = hashlib.blake2b(
            key=self._key, digest_size=DIGEST_BYTES, person=_PERSON_CHAIN
        )

    def _reencode(
        self, decoded: DecodedEventId, account: str, fingerprint: str
    ) -> str:
        binding = self.binding(
            decoded.generation_id, account, fingerprint, decoded.version
        )
        return self.encode(
            binding,
            decoded.generation_id,
            decoded.attempt,
            decoded.target,
            decoded.version,
            decoded.index,
            decoded.chain,
        )


def _normalize_key(key: bytes) -> bytes:
    """Returns the key, hashed if it is longer than BLAKE2b accepts."""
    if len(key) <= _MAX_KEY_BYTES:
        return key
    return hashlib.blake2b(key).digest()


def _key_id(key: bytes) -> str:
    return hashlib.blake2b(
        key, digest_size=_KEY_ID_BYTES, person=_PERSON_KEY_ID
    ).hexdigest()
