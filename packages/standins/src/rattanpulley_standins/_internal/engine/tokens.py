"""Format of the tokens that engines produce.

A token is `SHORT_ID.VERSION.INDEX` followed by a space; SHORT_ID is the first
8 hex digits of the generation id. Tokens computed under the fault
`nondeterministic` have `~` and random hex digits after the index.
"""

import dataclasses
import re

SHORT_ID_LENGTH = 8
_TOKEN = re.compile(
    r"([0-9a-f]{8})\.([A-Za-z0-9][A-Za-z0-9._-]{0,62})\.(0|[1-9][0-9]*)(?:~[0-9a-f]+)?"
)


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedToken:
    """Components of a token."""

    short_generation_id: str
    version: str
    index: int


def token_text(
    generation_id: str, version: str, index: int, variation: str = ""
) -> str:
    """Returns the text of a token with its trailing space."""
    suffix = f"~{variation}" if variation else ""
    return f"{generation_id[:SHORT_ID_LENGTH]}.{version}.{index}{suffix} "


def parse(word: str) -> ParsedToken | None:
    """Parses a token without its trailing space; None if it is malformed."""
    match = _TOKEN.fullmatch(word)
    if match is None:
        return None
    return ParsedToken(match[1], match[2], int(match[3]))


def find_prefix_error(
    generation_id: str, version: str, tokens: list[str]
) -> str | None:
    """Returns why `tokens` is not a prefix of the answer, or None."""
    short_generation_id = generation_id[:SHORT_ID_LENGTH]
    for index, token in enumerate(tokens):
        parsed = parse(token[:-1]) if token.endswith(" ") else None
        if parsed is None:
            return f"resume token {index} is not a token: {token!r}"
        if parsed != ParsedToken(short_generation_id, version, index):
            return (
                f"resume token {index} is {token!r}; it belongs to another"
                " generation, version or index"
            )
    return None
