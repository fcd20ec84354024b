"""Validation of configuration documents: reports all problems at once, each with a remedy."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err, Ok, Result

from ..errors import DecodingError
from ..util import decoding
from .document import Document
from .schema import document_schema

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from jsonschema.exceptions import ValidationError


@dataclass(frozen=True)
class Problem:
    """One problem of a configuration document.

    :param path: location in the document, such as ``targets[2].url``.
    :param message: what is wrong.
    :param remedy: how to correct it.
    """

    path: str
    message: str
    remedy: str

    def render(self, file: str) -> str:
        """Return the problem as one line, prefixed with the name of the file."""
        return f"{file}: {self.path}: {self.message} Remedy: {self.remedy}"


def check_document(raw: bytes) -> Result[Document, list[Problem]]:
    """Decode and validate a document.

    The document is checked against the JSON Schema first. References between its parts are checked
    only if the schema is satisfied.

    :returns: the document, or all problems found.
    """
    try:
        value = decoding.decode_json(raw)
    except DecodingError as error:
        return Err([Problem("(file)", f"not JSON: {error}.", "Correct the syntax.")])
    # Imported here because it takes 4 MB of memory, which programs that check no files save.
    from jsonschema import Draft202012Validator

    validator = Draft202012Validator(document_schema())
    problems = [_convert_schema_error(error) for error in validator.iter_errors(value)]
    if problems:
        return Err(sorted(problems, key=lambda problem: problem.path))
    try:
        document = msgspec.convert(value, Document)
    except msgspec.ValidationError as error:
        # The schema accepts 1.0 as an integer, for example.
        return Err([Problem("(document)", f"{error}.", "Use a value of the type that is named.")])
    problems = list(_check_references(document))
    return Err(problems) if problems else Ok(document)


def _convert_schema_error(error: ValidationError) -> Problem:
    path = "(document)"
    if error.absolute_path:
        path = _format_path(error.absolute_path)
    remedy = {
        "required": "Add the missing field.",
        "additionalProperties": "Remove the unknown field or correct its name.",
        "type": f"Use a value of type {error.validator_value}.",
        "enum": f"Use one of {error.validator_value}.",
        "pattern": f"Use a value that matches {error.validator_value}.",
    }.get(str(error.validator), f"Keep to {error.validator} {error.validator_value}.")
    return Problem(path, _shorten(error.message), remedy)


def _format_path(parts: Iterable[Any]) -> str:
    path = ""
    for part in parts:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".")


def _shorten(message: str, max_chars: int = 160) -> str:
    text = message if len(message) <= max_chars else message[: max_chars - 3] + "..."
    return text if text.endswith(".") else text + "."


def _check_references(document: Document) -> Iterator[Problem]:
    yield from _check_unique("models", [model.name for model in document.models])
    yield from _check_unique("targets", [target.name for target in document.targets])
    yield from _check_unique("targets.url", [target.url for target in document.targets])
    yield from _check_unique("services", [service.name for service in document.services])
    names = [row.name for row in document.organisations]
    yield from _check_unique("organisations", names)
    yield from _check_unique("operators", [row.name for row in document.operators])
    yield from _check_models(document)
    yield from _check_targets(document)
    if document.sharing.batch_priority <= document.sharing.online_priority:
        yield Problem(
            "sharing.batch_priority",
            "must come after online_priority.",
            "Use a larger number for batch than for online.",
        )


def _check_unique(path: str, names: list[str]) -> Iterator[Problem]:
    for name, count in Counter(names).items():
        if count > 1:
            yield Problem(path, f"{name!r} stands {count} times.", "Keep one and rename others.")


def _check_models(document: Document) -> Iterator[Problem]:
    for index, model in enumerate(document.models):
        versions = [version.name for version in model.versions]
        yield from _check_unique(f"models[{index}].versions", versions)
        yield from _check_unique(f"models[{index}].adapters", [row.name for row in model.adapters])
        if model.default_version not in versions:
            yield Problem(
                f"models[{index}].default_version",
                f"{model.default_version!r} is no version of {model.name!r}.",
                f"Use one of {versions}.",
            )


def _check_targets(document: Document) -> Iterator[Problem]:
    known = set(model_ids(document))
    for index, target in enumerate(document.targets):
        for model in target.models:
            if model not in known:
                yield Problem(
                    f"targets[{index}].models",
                    f"{model!r} is not declared.",
                    "Declare it under models, or name MODEL, MODEL@VERSION.",
                )


def model_ids(document: Document) -> Iterator[str]:
    """Yield all model names that a target may list: ``MODEL`` and ``MODEL@VERSION``."""
    for model in document.models:
        yield model.name
        for version in model.versions:
            yield f"{model.name}@{version.name}"
