"""Faults to inject into the stand-ins; set over HTTP with ``PUT /_faults``."""

from __future__ import annotations

import msgspec


class KvFaults(msgspec.Struct):
    """Faults of the key-value stand-in.

    :param down: refuse every call before it takes effect.
    :param delay_s: seconds to wait before each call is handled.
    :param lose_answers: drop the responses to this many writes after they took effect.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


class EngineFaults(msgspec.Struct):
    """Faults of the model-engine stand-in.

    :param refuse: refuse calls, with the header that says that they did not run.
    :param cut_after_tokens: cut the next stream after this many tokens (0: never).
    :param slow_factor: factor on the time of each step.
    :param killer_text: a prompt with this text cuts every stream of the engine, as a request
        that crashes its engine does.
    :param silent: accept requests but do not answer them.
    """

    refuse: bool = False
    cut_after_tokens: int = 0
    slow_factor: float = 1.0
    killer_text: str = ""
    silent: bool = False
