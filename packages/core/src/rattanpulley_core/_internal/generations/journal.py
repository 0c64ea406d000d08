"""Journal of the tokens of one generation."""

import array

from rattanpulley_core._internal.resume_token import signer as token_signer

# Limit of the tokens of one generation.
MAX_TOKENS = 65_536
# A chain value is kept for every n-th token; the values between are computed
# again when a caller comes back. 16 bytes for 64 tokens add 2 % to the journal.
CHECKPOINT_TOKENS = 64


class Journal:
    """Tokens in a byte buffer with an array of end offsets, and their chain."""

    __slots__ = ("_buffer", "_chain", "_checkpoints", "_ends", "_signer")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._ends = array.array("I")
        self._signer: token_signer.Signer | None = None
        self._chain = b""
        self._checkpoints = bytearray()

    def __len__(self) -> int:
        return len(self._ends)

    def start_chain(self, signer: token_signer.Signer, binding: bytes) -> None:
        """Sets the chain before the first token."""
        self._signer = signer
        self._chain = signer.start_chain(binding)
        self._checkpoints[:] = self._chain

    def append(self, token: str) -> bytes:
        """Adds a token and returns the chain after it.

        `start_chain` must have been called.
        """
        assert self._signer is not None
        self._buffer += token.encode("utf-8", "surrogatepass")
        self._ends.append(len(self._buffer))
        self._chain = self._signer.extend_chain(self._chain, token)
        if not len(self._ends) % CHECKPOINT_TOKENS:
            self._checkpoints += self._chain
        return self._chain

    def tokens(self, first: int = 0, end: int | None = None) -> tuple[str, ...]:
        """Returns the tokens with index `first` up to, not including, `end`."""
        end = len(self._ends) if end is None else end
        start = self._ends[first - 1] if first else 0
        found: list[str] = []
        for stop in self._ends[first:end]:
            token = self._buffer[start:stop]
            found.append(token.decode("utf-8", "surrogatepass"))
            start = stop
        return tuple(found)

    def chains(self, first: int) -> tuple[bytes, ...]:
        """Returns the chain after each token from index `first` on."""
        if self._signer is None or first >= len(self._ends):
            return ()
        number = first // CHECKPOINT_TOKENS
        size = token_signer.DIGEST_BYTES
        chain = bytes(self._checkpoints[number * size : (number + 1) * size])
        base = number * CHECKPOINT_TOKENS
        found: list[bytes] = []
        for token in self.tokens(base):
            chain = self._signer.extend_chain(chain, token)
            found.append(chain)
        return tuple(found[first - base :])

    def chain_at(
        self, index: int, signer: token_signer.Signer, binding: bytes
    ) -> bytes:
        """Returns the chain after the token at `index` under another key."""
        chain = signer.start_chain(binding)
        for token in self.tokens(0, index + 1):
            chain = signer.extend_chain(chain, token)
        return chain

    def size_bytes(self) -> int:
        """Returns the bytes that the buffers take up."""
        return (
            len(self._buffer)
            + len(self._ends) * self._ends.itemsize
            + len(self._checkpoints)
        )
