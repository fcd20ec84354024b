"""Identifiers, each a type of its own so that they cannot be mixed up."""

from __future__ import annotations

from typing import NewType

HostName = NewType("HostName", str)
Region = NewType("Region", str)
ConfigVersion = NewType("ConfigVersion", int)
JobId = NewType("JobId", str)
FileId = NewType("FileId", str)
ObjectHash = NewType("ObjectHash", str)
WriterToken = NewType("WriterToken", str)
FencingNumber = NewType("FencingNumber", int)
RequestId = NewType("RequestId", str)
ServiceName = NewType("ServiceName", str)
TargetName = NewType("TargetName", str)
"""Names a target over all of its lives."""
TargetId = NewType("TargetId", str)
"""Names one life of a target."""
TargetNumber = NewType("TargetNumber", int)
Incarnation = NewType("Incarnation", str)
ItemId = NewType("ItemId", str)
RequestKey = NewType("RequestKey", int)
"""Stands for everything that makes two calls the same request, whatever their ids."""
OrganisationName = NewType("OrganisationName", str)
OrganisationNumber = NewType("OrganisationNumber", int)
"""Stands for an organisation between hosts, in a few bytes."""
KeyDigest = NewType("KeyDigest", bytes)
"""Stands for an organisation's key; the key cannot be told from it."""
