"""Identifiers, each a type of its own so that they cannot be mixed up."""

from __future__ import annotations

from typing import NewType

HostName = NewType("HostName", str)
FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
TargetName = NewType("TargetName", str)
ModelName = NewType("ModelName", str)
OrganisationName = NewType("OrganisationName", str)
ConfigVersion = NewType("ConfigVersion", int)
JobId = NewType("JobId", str)
FileId = NewType("FileId", str)
ObjectHash = NewType("ObjectHash", str)
Epoch = NewType("Epoch", int)
WriterToken = NewType("WriterToken", str)
FencingNumber = NewType("FencingNumber", int)
