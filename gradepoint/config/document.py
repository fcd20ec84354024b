"""Types of the configuration document, which operators write and apply as a whole.

The JSON Schema for editors is generated from these types and their docstrings
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
MAX_WHOLE_NUMBER = (1 << 53) - 1
"""Messages between hosts have integers of 64 bits, and JSON readers keep 53 of them."""
PositiveInt = Annotated[int, Meta(ge=1, le=MAX_WHOLE_NUMBER)]
WholeNumber = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
Priority = Annotated[int, Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
Share = Annotated[float, Meta(ge=0, le=1)]

FORMAT = 1
"""Version of the document format that this release reads."""


class TargetState(Enum):
    """Desired state of a target.

    ``ACTIVE``: takes calls. ``DRAINING``: finishes running calls but gets no new ones.
    ``STOPPED``: takes no calls.
    """

    ACTIVE = "active"
    DRAINING = "draining"
    STOPPED = "stopped"


class TargetRole(Enum):
    """Kinds of work that a target takes."""

    BOTH = "both"
    ONLINE = "online"
    BATCH = "batch"


class OperatorRole(Enum):
    """Permission of an operator; ``APPLY`` includes ``READ``."""

    READ = "read"
    APPLY = "apply"


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Base class of all parts of the document; unknown fields are errors."""


class Adapter(StrictStruct):
    """A low-rank adapter of a model, addressed as ``MODEL:ADAPTER``."""

    name: Name
    weights: str


class ModelVersion(StrictStruct):
    """One version of a model's weights, addressed as ``MODEL@VERSION``."""

    name: Name
    weights: str


class Model(StrictStruct):
    """A model with its versions and adapters.

    :param default_version: version used if a caller names none.
    """

    name: Name
    versions: Annotated[list[ModelVersion], Meta(min_length=1)]
    default_version: Name
    adapters: list[Adapter] = []


class Target(StrictStruct):
    """An inference engine that runs models.

    :param models: models that it has loaded, as ``MODEL`` or ``MODEL@VERSION``.
    :param checks_fencing: whether it refuses orders with an outdated fencing number.
    :param slots: number of sequences that it runs at once.
    :param longest_order_s: seconds after which an order to it has succeeded or failed.
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


class Service(StrictStruct):
    """An HTTP service that is not an inference engine.

    :param repeatable_methods: methods whose calls may be retried; a caller can still mark a
        single call as not repeatable.
    """

    name: Name
    urls: Annotated[list[Url], Meta(min_length=1)]
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    timeout_s: Positive = 10.0


class KeyHash(StrictStruct):
    """Salted hash of an API key.

    :param expires: Unix seconds from which the key is refused; 0 for a key that does not expire.
    """

    salt: Annotated[str, Meta(pattern="^[0-9a-f]{16,64}$")]
    hash: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
    expires: WholeNumber = 0


class Organisation(StrictStruct):
    """A team whose callers share keys and limits, which hold for the fleet as a whole.

    :param requests_per_s: maximum rate of online calls.
    :param in_flight: maximum number of online calls in flight.
    :param batch_weight: share of batch work relative to the other organisations.
    """

    name: Name
    keys: list[KeyHash]
    requests_per_s: Positive = 100.0
    in_flight: PositiveInt = 256
    batch_weight: Positive = 1.0


class Operator(StrictStruct):
    """A person or program with access to the administration API."""

    name: Name
    role: OperatorRole
    keys: list[KeyHash]


class Sharing(StrictStruct):
    """Sharing of the targets between online and batch work.

    :param tail_preference: trade-off from 0, maximum batch throughput, to 1, minimum effect on
        the tail latency of online calls.
    :param online_priority: engine priority of online calls; lower numbers run first.
    :param batch_priority: engine priority of batch items; must exceed *online_priority*.
    """

    tail_preference: Share = 0.5
    online_priority: Priority = 0
    batch_priority: Priority = 10


class Retention(StrictStruct):
    """Retention of stored data.

    :param results_days: days until finished batch jobs are deleted.
    :param answers_days: days until stored answers of calls with an idempotency key are deleted.
    :param orphan_hours: minimum age in hours at which unreferenced objects are deleted.
    """

    results_days: Positive = 30.0
    answers_days: Positive = 1.0
    orphan_hours: Positive = 24.0


class WeightStore(StrictStruct):
    """The rate-limited store from which targets load model weights.

    :param loads_per_minute: maximum rate of loads, for the fleet as a whole.
    """

    loads_per_minute: Positive = 6.0


class Document(StrictStruct):
    """A configuration document.

    :param format: version of the document format.
    :param name: name of the deployment.
    """

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
