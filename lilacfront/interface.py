"""The whole interface of the decision module: settings, events in, actions out.

Times are integer microseconds on the caller's clock. An engine is an opaque integer that the
caller chooses and keeps the same across restarts of that engine. Nothing here decides anything:
a setting that is absent is None (or False) and means that the feature is off.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # engines of one group drop repeats for a while
    UNSAFE = "unsafe"  # must never run twice


class RepeatGroup(Enum):
    """Which engines drop the repeats of one another's keyed requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Condition(Enum):
    """What discovery says of one engine."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What one piece of discovery news covers."""

    CACHED = "cached"  # the whole list as last seen by this gateway, maybe stale
    FULL = "full"
    DELTA = "delta"
    FAILED = "failed"  # a call failed or the subscription dropped; the old list remains


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # may have run
    TURNED_AWAY = "turned away"  # never ran
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    NEVER_SENT = "never sent"  # never ran


class NoteKind(Enum):
    """What a note about a running attempt tells."""

    PROGRESS = "progress"  # value: share done, rough
    SPILLS = "spills"  # value: MB missing
    WAITS_MEMORY = "waits for memory"
    WAITS_LOAD = "waits for a load"


class Shortage(Enum):
    """What an engine does when grants pass its memory."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


@dataclass(slots=True, frozen=True)
class ClassSpec:
    """One class of requests."""

    aim_us: int
    deadline_us: int
    worth: float
    threads: int
    effect: Effect
    aim_stretch: float = 0.0
    late_worth: float = 0.0
    repeat_group: RepeatGroup = RepeatGroup.ALL
    repeat_window_us: int = 0
    in_order: bool = False
    only_zones: tuple[int, ...] | None = None
    only_kinds: tuple[int, ...] | None = None
    stream: bool = False
    holds_tables: bool = False  # a load: holds its table group on its engine while it runs
    waits_for_loads: bool = False


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures of the rules that a gateway must keep."""

    answer_slack_us: int = 0
    drain_within_us: int = 0
    overload_factor: float | None = None  # None: engines don't fall over when cold
    cold_share: float = 1.0
    fall_us: int = 0
    warm_after_us: int = 0
    ask_within_us: int | None = None
    turn_gap_us: int = 0
    budget_span_us: int | None = None  # None: further attempts are not rationed
    budget_free: float = 0.0
    budget_ratio: float = 0.0


@dataclass(slots=True, frozen=True)
class Limits:
    """What the operator permits."""

    most_tries: int
    cancel: bool = False
    probe: bool = False
    tell: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    most_held: int | None = None


@dataclass(slots=True, frozen=True)
class Tenant:
    """One customer: requests a second, over all gateways, within its share."""

    allowance_per_s: float


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway is told at its start."""

    classes: tuple[ClassSpec, ...]
    kind_cores: tuple[float, ...]
    limits: Limits
    rules: Rules = field(default_factory=Rules)
    kind_memory_mb: tuple[float, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    instances: int = 1
    slot: int = 0
    zone: int = 0
    ask_discovery: bool = False
    grants: bool = False
    most_grant: float = 1.0
    shortage: Shortage = Shortage.WAIT
    priorities: bool = False
    progress_us: int = 0
    tells_cost: bool = False
    cross_zone_price: float = 0.0
    late_fail_price: float = 0.0
    waste_price: float = 0.0
    peer_price: float = 0.0  # of a full message for each request
    tick_us: int = 0


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One line of discovery's list. `started_us` 0: a long time back."""

    engine: int
    condition: Condition
    started_us: int = 0
    cell: int = 0
    kind: int = 0
    zone: int = 0
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What an engine said of itself; None where it says nothing of that."""

    busy: float | None = None
    in_hand: float | None = None
    waiting: float | None = None


# ---- events -----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class EngineList:
    scope: ListScope
    entries: tuple[EngineEntry, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request, now this gateway's to answer once within `left_us`."""

    request: int
    cls: int
    left_us: int
    table_group: int = 0
    key: int = 0
    tenant: int = 0
    is_repeat: bool = False
    work_us: int | None = None  # estimate of the work of all its threads
    memory_mb: float | None = None


@dataclass(slots=True, frozen=True)
class StreamStarted:
    request: int
    attempt: int
    engine: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt ended. `final`: the request is finished, by this or before it."""

    request: int
    attempt: int
    engine: int
    result: Result
    took_us: int
    final: bool = False
    work_us: int | None = None
    memory_mb: float | None = None
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class Note:
    request: int
    attempt: int
    engine: int
    kind: NoteKind
    value: float


@dataclass(slots=True, frozen=True)
class ProbeResult:
    engine: int
    result: Result
    took_us: int
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class Timer:
    token: int


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client quit or was answered otherwise; nothing is owed for this request any more."""

    request: int


@dataclass(slots=True, frozen=True)
class PeerMessage:
    sender: int
    data: bytes


Event = EngineList | Request | StreamStarted | Outcome | Note | ProbeResult | Timer | ClientGone | PeerMessage


# ---- actions ----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Send:
    """The next attempt of a request. `until_us` 0: as long as the client waits."""

    request: int
    engine: int
    until_us: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: turned away; trying again is harmless."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, no word on what it did."""

    request: int


@dataclass(slots=True, frozen=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTerms:
    """Memory (0: the engine chooses) for further sends, priority at once and for further sends."""

    request: int
    memory_mb: float
    priority: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    at_us: int
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    engine: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    engine: int


@dataclass(slots=True, frozen=True)
class Tell:
    """A message to one peer, or to every one (None)."""

    peer: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to discovery's changes, or stop."""

    on: bool


@dataclass(slots=True, frozen=True)
class Fetch:
    """Ask discovery for the whole list once."""


@dataclass(slots=True, frozen=True)
class LogLine:
    text: str


Action = (
    Send | Refuse | Fail | Cancel | SetTerms | SetTimer | Probe | CloseIdle | Tell | Watch | Fetch | LogLine
)
