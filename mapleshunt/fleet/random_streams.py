"""Random streams by purpose: an additional draw for one purpose does not shift the draws of another."""

from __future__ import annotations

import zlib
from collections.abc import Callable

import numpy as np

Rng = np.random.Generator
BLOCK_SIZE = 4096  # draws made at once, as a call into numpy costs about a microsecond
SEED_LIMIT = 1 << 62
# The names of purposes are keys of the streams: renaming one changes all runs that draw from it.
INSTALLATION_PURPOSES = ("figures", "load", "customers", "speeds")  # drawn once for an installation


class RandomStreams:
    """Independent generators by name from one seed (numpy's `SeedSequence`, keyed by the name)."""

    def __init__(self, seed: int, installation_seed: int | None = None) -> None:
        """Args: `installation_seed` replaces `seed` for `INSTALLATION_PURPOSES`, unless it is None."""
        self.seed = seed
        self.installation_seed = seed if installation_seed is None else installation_seed

    def generator(self, purpose: str, number: int = 0) -> Rng:
        """Return a new generator for this purpose and number; equal arguments give equal draws."""
        seed = self.installation_seed if purpose in INSTALLATION_PURPOSES else self.seed
        key = (zlib.crc32(purpose.encode()), number)
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=key)))

    def seed_for(self, purpose: str, number: int = 0) -> int:
        """Return a seed below `SEED_LIMIT` for a generator that is not numpy's."""
        return int(self.generator(purpose, number).integers(SEED_LIMIT))


class BufferedDraws:
    """Single floats from a function that draws blocks. Each block is consumed from its end."""

    __slots__ = ("buffer", "generate")

    def __init__(self, generate: Callable[[int], np.ndarray]) -> None:
        self.generate = generate
        self.buffer: list[float] = []

    def next(self) -> float:
        """Return one draw."""
        if not self.buffer:
            self.buffer = self.generate(BLOCK_SIZE).tolist()
        return self.buffer.pop()


def lognormal(rng: Rng, mean: float, cv: float, size: int) -> np.ndarray:
    """Draw lognormal values of the given mean and coefficient of variation."""
    sigma2 = float(np.log1p(cv * cv))
    return rng.lognormal(np.log(mean) - sigma2 / 2, np.sqrt(sigma2), size)
