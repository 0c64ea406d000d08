"""Checks that an answer is complete and comes from one generation."""

import dataclasses

from rattanpulley_standins._internal.engine import tokens


@dataclasses.dataclass(slots=True)
class AnswerChecker:
    """Checks the text of one answer token by token.

    Attributes:
        expected_length: Number of tokens of the complete answer.
        short_generation_id: First 8 hex digits of the generation id, from the
            first token.
        version: Version, from the first token.
        next_index: Expected index of the next token.
        missing: Number of skipped tokens, including those at the end.
        repeated: Number of tokens whose index was already received or skipped.
        mixed: Number of tokens of another generation or version.
        malformed: Number of words that are not tokens.
        finished: Whether the end of the answer was received.
    """

    expected_length: int
    short_generation_id: str = ""
    version: str = ""
    next_index: int = 0
    missing: int = 0
    repeated: int = 0
    mixed: int = 0
    malformed: int = 0
    finished: bool = False
    _partial_word: str = ""

    def feed(self, text: str) -> int:
        """Checks more text; returns the number of new tokens in it."""
        *words, self._partial_word = (self._partial_word + text).split(" ")
        return sum(self._check_word(word) for word in words)

    def finish(self) -> None:
        """Records that the end of the answer was received."""
        self.finished = True
        self.malformed += self._partial_word != ""
        self.missing += max(self.expected_length - self.next_index, 0)

    @property
    def is_complete(self) -> bool:
        """Whether the answer has ended and has no problems."""
        return (
            self.finished
            and self.next_index == self.expected_length
            and not self.problems()
        )

    def problems(self) -> dict[str, int]:
        """Returns the number of problems found, by kind."""
        counts = {
            "missing": self.missing,
            "repeated": self.repeated,
            "mixed": self.mixed,
            "malformed": self.malformed,
            "too_long": max(self.next_index - self.expected_length, 0),
        }
        return {kind: count for kind, count in counts.items() if count}

    def _check_word(self, word: str) -> bool:
        token = tokens.parse(word)
        if token is None:
            self.malformed += 1
            return False
        if not self.short_generation_id:
            self.short_generation_id = token.short_generation_id
            self.version = token.version
        if (token.short_generation_id, token.version) != (
            self.short_generation_id,
            self.version,
        ):
            self.mixed += 1
            return False
        if token.index < self.next_index:
            self.repeated += 1
            return False
        self.missing += token.index - self.next_index
        self.next_index = token.index + 1
        return True
