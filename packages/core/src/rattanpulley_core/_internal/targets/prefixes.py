"""Hashes of the prefix blocks of a prompt, for cache affinity."""

import hashlib

# Engines cache prefixes in blocks of some tens of tokens. Blocks of this many
# characters are coarse enough that few hashes describe a prompt.
BLOCK_CHARS = 512
# Prompts with this many equal blocks usually share a system prompt; a longer
# key would spread the requests of one system prompt over all targets.
MAX_BLOCKS = 4
_HASH_BYTES = 8


def block_hashes(model: str, prompt: str) -> tuple[int, ...]:
    """Returns a hash for each prefix of complete blocks, shortest first.

    The hashes are equal on every daemon, so that all daemons prefer the same
    targets for a prompt. A prompt shorter than a block has none.
    """
    hasher = hashlib.blake2b(model.encode(), digest_size=_HASH_BYTES)
    found: list[int] = []
    last = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    for number in range(last):
        block = prompt[number * BLOCK_CHARS : (number + 1) * BLOCK_CHARS]
        hasher.update(block.encode("utf-8", "surrogatepass"))
        found.append(int.from_bytes(hasher.digest(), "big"))
    return tuple(found)
