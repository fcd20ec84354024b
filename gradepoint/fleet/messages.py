"""Messages between control programs, and between a host's control and its other programs."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from ..config.delta import DocumentDelta
from ..config.versions import ConfigRecord
from ..wire.rpc import PROTOCOL_VERSION, Message

MAX_INCARNATION = 1 << 62
"""Highest incarnation. One above the 64 bits of a message could not be sent by its host."""
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]


class MemberState(Enum):
    """State of a host in the membership protocol.

    A live host that does not answer pings becomes suspect. It returns to live if it refutes
    the suspicion with a higher incarnation, and is lost if it does not do so in time. A
    leaving host announced its shutdown, or the platform lists it as leaving; it becomes lost
    after the same timeout. A lost host returns to live with a higher incarnation.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LOST = "lost"


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Membership entry of one host.

    :param store_port: 0 on hosts without a data folder.
    :param incarnation: increases with each restart and each refuted suspicion; an update
        with a higher incarnation supersedes one with a lower.
    """

    host: str
    address: str
    gossip_port: Port
    control_port: Port
    batch_port: Port
    notice_port: Port
    store_port: Port
    failure_domain: str
    region: str
    incarnation: Incarnation
    state: MemberState = MemberState.LIVE


class GossipKind(Enum):
    """Kind of a gossip datagram."""

    PING = "p"
    ACK = "a"
    PING_REQUEST = "r"


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """One datagram of the membership protocol.

    :param sequence: number that the sender gave its ping; an ack repeats it. 0 in pings
        whose ack is not awaited.
    :param config_version: configuration version in force at the sender.
    :param subject: for a ping request, the host to ping; for an ack, the host that
        answered.
    :param updates: piggybacked updates about members.
    """

    kind: GossipKind
    sender: str
    sequence: int
    config_version: int
    subject: str = ""
    updates: tuple[Member, ...] = ()
    v: int = PROTOCOL_VERSION


class FetchConfig(Message, tag="fetch_config"):
    """Request the configuration record in force from a control program.

    :param have: version in force at the requester; the answer is a delta to it if possible.
    """

    have: int = 0
    v: int = PROTOCOL_VERSION


class FetchMembers(Message, tag="fetch_members"):
    """Request the members that a control program knows; it adds *joining* to them."""

    joining: Member | None = None
    v: int = PROTOCOL_VERSION


class FetchStatus(Message, tag="fetch_status"):
    """Request the status of a control program's host."""

    v: int = PROTOCOL_VERSION


class Sync(Message, tag="sync"):
    """Report of a program to the control program of its host, and request for changes.

    :param config_version: configuration version in force in the program.
    :param members_version: membership version that the program has.
    :param in_flight: calls in progress at targets that take no new work, by target name.
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
    """The configuration record in force.

    Either *record* is the whole record (None before the first version is in force), or *head*
    and *delta* are set and give the record when applied to the version that the requester has.
    """

    record: ConfigRecord | None
    head: RecordHead | None = None
    delta: DocumentDelta | None = None
    v: int = PROTOCOL_VERSION


class MembersAnswer(Message, tag="members_answer"):
    """All members that the sender knows, and the configuration version in force there."""

    members: list[Member]
    config_version: int
    v: int = PROTOCOL_VERSION


class StatusAnswer(Message, tag="status_answer"):
    """Status of one host.

    :param config_version: lowest version in force in the control program and in *programs*.
    :param in_force_age_s: seconds since the control program's version came into force.
    :param programs: version in force in each program that reported recently.
    :param in_flight: calls in progress at targets that take no new work, by target name.
    :param kv_reachable: whether the control program's last read or watch of the configuration
        in the key-value service succeeded.
    """

    host: str
    config_version: int
    in_force_age_s: float
    programs: dict[str, int]
    in_flight: dict[str, int]
    kv_reachable: bool
    v: int = PROTOCOL_VERSION


class SyncAnswer(Message, tag="sync_answer"):
    """Changes since the state that the program reported; None means unchanged."""

    record: ConfigRecord | None
    members: list[Member] | None
    members_version: int
    v: int = PROTOCOL_VERSION


ControlRequest = FetchConfig | FetchMembers | FetchStatus | Sync
ControlReply = ConfigAnswer | MembersAnswer | StatusAnswer | SyncAnswer
