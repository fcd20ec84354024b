"""Identifier types.

Each kind of identifier is a distinct :class:`~typing.NewType`, so that the type checker rejects
one kind where another is expected.
"""

from __future__ import annotations

from typing import NewType

HostName = NewType("HostName", str)
Region = NewType("Region", str)
ConfigVersion = NewType("ConfigVersion", int)
JobId = NewType("JobId", str)
FileId = NewType("FileId", str)
ObjectHash = NewType("ObjectHash", str)
WriterToken = NewType("WriterToken", str)
"""Random token of one writer, by which it recognises its own write after a lost answer."""
FencingNumber = NewType("FencingNumber", int)
"""Grows with each holder of a lease, so that orders of a former holder can be refused."""
RequestId = NewType("RequestId", str)
ServiceName = NewType("ServiceName", str)
TargetName = NewType("TargetName", str)
"""Name of a target, the same across restarts of the target."""
TargetId = NewType("TargetId", str)
"""Identifies one incarnation of a target; a restarted target has a new one."""
SoftwareVersion = NewType("SoftwareVersion", str)
"""A target's software: its service and version, which is independent of the versions of its models.
Targets of equal software continue each other's streams."""
TargetNumber = NewType("TargetNumber", int)
"""Short hash of a :data:`TargetId`, used in messages between hosts."""
Incarnation = NewType("Incarnation", str)
"""Identifies one run of a host's program, as ``HOST:RANDOM``; a restart makes a new one."""
CapacityClass = NewType("CapacityClass", int)
"""Class of a host's link and memory; hosts of higher classes have more."""
StreamKey = NewType("StreamKey", int)
"""Hash of the id of the call that began a stream."""
StreamRequest = NewType("StreamRequest", int)
"""Hash of what all calls for one stream have in common."""
ItemId = NewType("ItemId", str)
RequestKey = NewType("RequestKey", int)
"""Hash of everything that makes two calls the same request, regardless of their request ids."""
SuspectKey = NewType("SuspectKey", int)
"""Hash of what may crash targets: a request, or a part of prompts."""
PromptPart = NewType("PromptPart", str)
"""ID of a part of a prompt that other prompts may share."""
OrganisationName = NewType("OrganisationName", str)
OrganisationNumber = NewType("OrganisationNumber", int)
"""Short hash of an organisation's name, used in messages between hosts to save bytes."""
KeyDigest = NewType("KeyDigest", bytes)
"""Digest of an organisation's key, from which the key cannot be recovered."""
