"""Types of the configuration document, which operators write and apply whole.

The JSON Schema for editors is generated from these types
(:mod:`gradepoint.config.schema`).
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

Name = Annotated[
    str,
    Meta(
        pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$",
        description="Lower-case name of at most 63 characters.",
    ),
]
Url = Annotated[
    str, Meta(pattern=r"^http://[0-9.]+:[0-9]+$", description="http://IP:PORT, by IP number.")
]
Positive = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]

FORMAT = 1
"""The format number that this release reads."""


class TargetState(Enum):
    """The state that the operator wants a target in."""

    ACTIVE = "active"
    DRAINING = "draining"
    STOPPED = "stopped"


class TargetRole(Enum):
    """Which work a target takes."""

    BOTH = "both"
    ONLINE = "online"
    BATCH = "batch"


class OperatorRole(Enum):
    """What an operator's key allows."""

    READ = "read"
    APPLY = "apply"


class Strict(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Base of all parts of the document: an unknown field is an error."""


class Adapter(Strict):
    """A low-rank adapter, addressed as ``MODEL:ADAPTER``."""

    name: Name
    weights: str


class ModelVersion(Strict):
    """One version of a model's weights, addressed as ``MODEL@VERSION``."""

    name: Name
    weights: str


class Model(Strict):
    """A model with its versions and adapters.

    :param default_version: served when a caller names none.
    """

    name: Name
    versions: Annotated[list[ModelVersion], Meta(min_length=1)]
    default_version: Name
    adapters: list[Adapter] = []


class Target(Strict):
    """A model engine.

    :param checks_fencing: whether it refuses an order with an old fencing number.
    :param slots: sequences it runs at once.
    :param longest_order_s: time after which an order to it has ended either way.
    """

    name: Name
    url: Url
    failure_domain: Name
    models: Annotated[list[str], Meta(min_length=1)]
    region: Name = "region-1"
    state: TargetState = TargetState.ACTIVE
    role: TargetRole = TargetRole.BOTH
    checks_fencing: bool = True
    slots: PositiveInt = 16
    longest_order_s: Positive = 10.0


class Service(Strict):
    """A plain service beside the engines.

    :param repeatable_methods: methods whose calls may be sent again; a caller can
        still mark one call not repeatable.
    """

    name: Name
    urls: Annotated[list[Url], Meta(min_length=1)]
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    timeout_s: Positive = 10.0


class KeyHash(Strict):
    """A key, kept as salted hash.

    :param expires: Unix seconds after which the key is refused (0: never).
    """

    salt: Annotated[str, Meta(pattern="^[0-9a-f]{16,64}$")]
    hash: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
    expires: Annotated[int, Meta(ge=0)] = 0


class Organisation(Strict):
    """A team whose callers share keys and limits, for the fleet as a whole."""

    name: Name
    keys: list[KeyHash]
    requests_per_s: Positive = 100.0
    in_flight: PositiveInt = 256
    batch_weight: Positive = 1.0


class Operator(Strict):
    """A person or program that uses the administration API."""

    name: Name
    role: OperatorRole
    keys: list[KeyHash]


class Sharing(Strict):
    """How online and batch work share the targets.

    :param tail_preference: 0 for most batch throughput, 1 for least harm to the online
        latency tail.
    :param online_priority: engine priority of online calls (lower runs first).
    """

    tail_preference: Share = 0.5
    online_priority: int = 0
    batch_priority: int = 10


class Retention(Strict):
    """How long finished work is kept, in days."""

    results_days: Positive = 30.0
    answers_days: Positive = 1.0
    orphan_hours: Positive = 24.0


class WeightStore(Strict):
    """The rate-limited store that targets load weights from."""

    loads_per_minute: Positive = 6.0


class Document(Strict):
    """The whole configuration."""

    format: Annotated[int, Meta(ge=FORMAT, le=FORMAT)]
    name: Name
    models: Annotated[list[Model], Meta(min_length=1)]
    targets: list[Target]
    organisations: list[Organisation]
    operators: list[Operator] = []
    services: list[Service] = []
    sharing: Sharing = msgspec.field(default_factory=Sharing)
    retention: Retention = msgspec.field(default_factory=Retention)
    weight_store: WeightStore = msgspec.field(default_factory=WeightStore)
