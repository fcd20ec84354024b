"""Messages between control programs and from the programs of one host to its control."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..config.delta import DocumentDelta
from ..config.versions import ConfigRecord
from ..wire.rpc import PROTOCOL_VERSION, Message


class MemberState(Enum):
    """What the members think of one of them."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LOST = "lost"


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One host as its fellow hosts know it.

    :param incarnation: rises at each restart and each refuted suspicion; the higher
        number is the later update.
    :param store_port: 0 on hosts without a data folder.
    """

    host: str
    address: str
    gossip_port: int
    control_port: int
    batch_port: int
    notice_port: int
    store_port: int
    failure_domain: str
    region: str
    incarnation: int
    state: MemberState = MemberState.LIVE


class GossipKind(Enum):
    """Kind of a datagram."""

    PING = "p"
    ACK = "a"
    PING_REQUEST = "r"


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """One datagram of the membership protocol.

    :param subject: for a ping request, the host to ping; for an ack, the host that
        answered.
    :param config_version: version in force at the sender.
    """

    kind: GossipKind
    sender: str
    sequence: int
    config_version: int
    subject: str = ""
    updates: tuple[Member, ...] = ()
    v: int = PROTOCOL_VERSION


class FetchConfig(Message, tag="fetch_config"):
    """Ask a control program for the record in force.

    :param have: version that the asker has, to be answered by a delta if possible.
    """

    have: int = 0
    v: int = PROTOCOL_VERSION


class FetchMembers(Message, tag="fetch_members"):
    """Ask a control program for its members; *joining* is added to them."""

    joining: Member | None = None
    v: int = PROTOCOL_VERSION


class FetchStatus(Message, tag="fetch_status"):
    """Ask a control program for its host's state."""

    v: int = PROTOCOL_VERSION


class Sync(Message, tag="sync"):
    """A program of this host tells its state and asks for news.

    :param in_flight: calls in progress at targets that take no new work.
    """

    program: str
    config_version: int
    members_version: int
    in_flight: dict[str, int] = {}
    v: int = PROTOCOL_VERSION


class RecordHead(msgspec.Struct, frozen=True):
    """A configuration record without its document."""

    version: int
    writer: str
    applied_by: str
    applied_at: int


class ConfigAnswer(Message, tag="config_answer"):
    """The record in force, or None before the first; or its head with a delta."""

    record: ConfigRecord | None
    head: RecordHead | None = None
    delta: DocumentDelta | None = None
    v: int = PROTOCOL_VERSION


class MembersAnswer(Message, tag="members_answer"):
    """All members known, and the version in force at the sender."""

    members: list[Member]
    config_version: int
    v: int = PROTOCOL_VERSION


class StatusAnswer(Message, tag="status_answer"):
    """State of one host.

    :param programs: version in force at each program that reported lately.
    :param in_flight: calls in progress at targets that take no new work.
    """

    host: str
    config_version: int
    in_force_age_s: float
    programs: dict[str, int]
    in_flight: dict[str, int]
    kv_reachable: bool
    v: int = PROTOCOL_VERSION


class SyncAnswer(Message, tag="sync_answer"):
    """News for a program: what is None has not changed."""

    record: ConfigRecord | None
    members: list[Member] | None
    members_version: int
    v: int = PROTOCOL_VERSION


ControlRequest = FetchConfig | FetchMembers | FetchStatus | Sync
ControlReply = ConfigAnswer | MembersAnswer | StatusAnswer | SyncAnswer
