"""Resolution of model names.

Callers use ``MODEL``, ``MODEL@VERSION``, ``MODEL:ADAPTER`` or ``MODEL@VERSION:ADAPTER``. Engines
use the full name, which always includes the version.
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
    """Parts of a model name.

    :param adapter: name of the adapter; empty for the base model.
    """

    model: str
    version: str
    adapter: str

    @property
    def engine_name(self) -> str:
        """Full name, as engines use it."""
        suffix = f":{self.adapter}" if self.adapter else ""
        return f"{self.model}@{self.version}{suffix}"


def resolve_model(document: Document, name: str) -> ResolvedModel:
    """Resolve a model name given by a caller; a missing version is the default version.

    :raises GradepointError: ``unknown_model``.
    """
    base, _, adapter = name.partition(":")
    model_name, _, version = base.partition("@")
    model = next((row for row in document.models if row.name == model_name), None)
    if model is None:
        raise GradepointError("unknown_model", f"There is no model {name!r}.", param="model")
    resolved_version = version or model.default_version
    if resolved_version not in {row.name for row in model.versions}:
        raise GradepointError(
            "unknown_model", f"{model_name!r} has no version {resolved_version!r}.", param="model"
        )
    if adapter and adapter not in {row.name for row in model.adapters}:
        raise GradepointError(
            "unknown_model", f"{model_name!r} has no adapter {adapter!r}.", param="model"
        )
    return ResolvedModel(model_name, resolved_version, adapter)


def models_to_load(document: Document, target: Target) -> list[str]:
    """Return the engine names of everything that *target* should have loaded, in stable order.

    These are its models and all adapters of them.
    """
    engine_names: list[str] = []
    for listed in target.models:
        name, _, version = listed.partition("@")
        model = next(row for row in document.models if row.name == name)
        base = f"{name}@{version or model.default_version}"
        engine_names.append(base)
        engine_names.extend(f"{base}:{adapter.name}" for adapter in model.adapters)
    return list(dict.fromkeys(engine_names))


def targets_for(document: Document, resolved: ResolvedModel, *, batch: bool) -> list[Target]:
    """Return the active targets that should have a model loaded and take one kind of work.

    :param batch: True for batch work, False for online calls.
    """
    excluded = TargetRole.ONLINE if batch else TargetRole.BATCH
    return [
        target
        for target in document.targets
        if target.state is TargetState.ACTIVE
        and target.role is not excluded
        and resolved.engine_name in models_to_load(document, target)
    ]


def public_names(document: Document) -> Iterator[str]:
    """Yield the model names listed to callers.

    Combinations of version and adapter are valid too but not listed.
    """
    for model in document.models:
        yield model.name
        yield from _variants(model)


def _variants(model: Model) -> Iterator[str]:
    for version in model.versions:
        yield f"{model.name}@{version.name}"
    for adapter in model.adapters:
        yield f"{model.name}:{adapter.name}"
