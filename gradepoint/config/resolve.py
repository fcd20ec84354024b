"""Model names: what a caller writes, what a target must have loaded.

A caller writes ``MODEL``, ``MODEL@VERSION``, ``MODEL:ADAPTER`` or
``MODEL@VERSION:ADAPTER``. Engines know the full name, version always included.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..errors import GradepointError
from .document import TargetRole, TargetState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .document import Document, Model, Target


@dataclass(frozen=True)
class ResolvedModel:
    """A model name with all its parts.

    :param engine_name: the name that an engine knows.
    """

    model: str
    version: str
    adapter: str

    @property
    def engine_name(self) -> str:
        """The name sent to an engine."""
        suffix = f":{self.adapter}" if self.adapter else ""
        return f"{self.model}@{self.version}{suffix}"


def resolve_model(document: Document, name: str) -> ResolvedModel:
    """Return the parts of *name*.

    :raises GradepointError: ``unknown_model``.
    """
    base, _, adapter = name.partition(":")
    model_name, _, version = base.partition("@")
    model = next((row for row in document.models if row.name == model_name), None)
    if model is None:
        raise GradepointError("unknown_model", f"There is no model {name!r}.", param="model")
    chosen = version or model.default_version
    if chosen not in {row.name for row in model.versions}:
        raise GradepointError(
            "unknown_model", f"{model_name!r} has no version {chosen!r}.", param="model"
        )
    if adapter and adapter not in {row.name for row in model.adapters}:
        raise GradepointError(
            "unknown_model", f"{model_name!r} has no adapter {adapter!r}.", param="model"
        )
    return ResolvedModel(model_name, chosen, adapter)


def wanted_loads(document: Document, target: Target) -> list[str]:
    """Return the engine names that *target* should have loaded, in stable order."""
    wanted: list[str] = []
    for listed in target.models:
        name, _, version = listed.partition("@")
        model = next(row for row in document.models if row.name == name)
        base = f"{name}@{version or model.default_version}"
        wanted.append(base)
        wanted.extend(f"{base}:{adapter.name}" for adapter in model.adapters)
    return list(dict.fromkeys(wanted))


def targets_for(document: Document, resolved: ResolvedModel, *, batch: bool) -> list[Target]:
    """Return the active targets that should have a model loaded, for one kind of work."""
    excluded = TargetRole.ONLINE if batch else TargetRole.BATCH
    return [
        target
        for target in document.targets
        if target.state is TargetState.ACTIVE
        and target.role is not excluded
        and resolved.engine_name in wanted_loads(document, target)
    ]


def public_names(document: Document) -> Iterator[str]:
    """Yield every name that callers can use."""
    for model in document.models:
        yield model.name
        yield from _variants(model)


def _variants(model: Model) -> Iterator[str]:
    for version in model.versions:
        yield f"{model.name}@{version.name}"
    for adapter in model.adapters:
        yield f"{model.name}:{adapter.name}"
