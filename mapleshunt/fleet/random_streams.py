"""Chance by purpose: each purpose has a stream of its own, so that one more draw here moves nothing there."""

from __future__ import annotations

import zlib
from collections.abc import Callable

import numpy as np

Rng = np.random.Generator
BLOCK_SIZE = 4096
INSTALLATION_PURPOSES = (
    "figures",
    "load",
    "customers",
    "speeds",
)  # purposes whose draws belong to an installation


class RandomStreams:
    """Independent generators by name from one seed (numpy's `SeedSequence`, keyed by the name)."""

    def __init__(self, seed: int, world: int | None = None) -> None:
        """`world`: the seed of what stays from day to day; None: the day's own."""
        self.seed, self.installation_seed = seed, seed if world is None else world

    def generator(self, purpose: str, number: int = 0) -> Rng:
        seed = self.installation_seed if purpose in INSTALLATION_PURPOSES else self.seed
        key = (zlib.crc32(purpose.encode()), number)
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=key)))

    def seed_for(self, purpose: str, number: int = 0) -> int:
        return int(self.generator(purpose, number).integers(1 << 62))


class BufferedDraws:
    """Floats one by one from a generator that is asked for many at once: a call into numpy costs a µs."""

    __slots__ = ("block", "buffer", "generate")

    def __init__(self, make: Callable[[int], np.ndarray]) -> None:
        self.generate = make
        self.buffer: list[float] = []

    def next(self) -> float:
        if not self.buffer:
            self.buffer = self.generate(BLOCK_SIZE).tolist()
        return self.buffer.pop()


def lognormal(rng: Rng, mean: float, cv: float, size: int) -> np.ndarray:
    """Lognormal of the given mean and coefficient of variation."""
    sigma2 = float(np.log1p(cv * cv))
    return rng.lognormal(np.log(mean) - sigma2 / 2, np.sqrt(sigma2), size)
