"""Token journal of one generation."""

import array

from rattanpulley_core._internal.resume_token import signer as token_signer

# Maximum number of tokens of one generation.
MAX_TOKENS = 65_536
# Hash chain values are stored for every n-th token; values in between are
# recomputed when a caller reconnects. 16 bytes per 64 tokens add 2 % to the
# size of the journal.
CHECKPOINT_TOKENS = 64


class Journal:
    """Tokens of a generation and their hash chain.

    Tokens are stored as UTF-8 in one byte buffer with an array of end offsets.
    """

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
        """Initializes the hash chain before the first token.

        Args:
            signer: Signer that extends the chain.
            binding: Digest that binds the generation to its request.
        """
        self._signer = signer
        self._chain = signer.start_chain(binding)
        self._checkpoints[:] = self._chain

    def append(self, token: str) -> bytes:
        """Appends a token and returns the chain value after it.

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
        """Returns the tokens from index `first` up to, excluding, `end`."""
        end = len(self._ends) if end is None else end
        start = self._ends[first - 1] if first else 0
        found: list[str] = []
        for stop in self._ends[first:end]:
            token = self._buffer[start:stop]
            found.append(token.decode("utf-8", "surrogatepass"))
            start = stop
        return tuple(found)

    def chains(self, first: int) -> tuple[bytes, ...]:
        """Returns the chain value after each token from index `first` on."""
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
        """Recomputes the chain value after the token at `index`.

        Args:
            index: Index of the token.
            signer: Signer whose key is used; it may differ from the journal's.
            binding: Digest that binds the generation to its request under the
                key of `signer`.
        """
        chain = signer.start_chain(binding)
        for token in self.tokens(0, index + 1):
            chain = signer.extend_chain(chain, token)
        return chain

    def size_bytes(self) -> int:
        """Returns the size of the buffers in bytes."""
        return (
            len(self._buffer)
            + len(self._ends) * self._ends.itemsize
            + len(self._checkpoints)
        )
