"""A command whose body is discarded as it comes, because there is no memory for it."""

from __future__ import annotations

from ..protocol.resp import CommandParse


class SkippedCommand:
    """What is kept of a command: the words ahead of its body, and how much is still to come.

    Attributes:
        size: Its length in bytes.
        missing_bytes: How many of them have not come yet.
    """

    __slots__ = ("_words", "missing_bytes", "size")

    def __init__(self, command: CommandParse, start: int, read_bytes: int) -> None:
        """Keep an incomplete command that begins at `start`, and of which `read_bytes` were read."""
        self._words = [memoryview(bytes(word)) for word in command.words]
        self.size = command.end - start
        self.missing_bytes = self.size - read_bytes

    def words_without_body(self) -> list[memoryview]:
        """Return its words, with an empty body."""
        return [*self._words, memoryview(b"")]
