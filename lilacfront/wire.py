"""Codec of the simulator's frames and of its settings JSON; the only file that knows its words.

Frames are read whole. Anything cut short or not understood raises FrameError rather than a guess.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

from lilacfront import interface as i

HEADER = struct.Struct(">IIQ")
REPLY_HEADER = struct.Struct(">I")
ENTRY = struct.Struct(">Q6sHBBBf")
ARRIVAL = struct.Struct(">IQQIIBBffI")
OUTCOME = struct.Struct(">IQB6sHIBI")
INTERIM = struct.Struct(">IQB6sBf")
FIRST = struct.Struct(">IQB6sI")
STATUS = struct.Struct(">IHI6s")
TARGETS = struct.Struct(">IBQH")
START_HEAD = struct.Struct(">IQI")
INVENTORY = struct.Struct(">HI")
PEER = struct.Struct(">IIH")
FRONT_U64 = struct.Struct(">IQ")
FRONT = struct.Struct(">I")

RESULTS = {
    0: i.Result.OK,
    255: i.Result.ERROR,
    254: i.Result.TURNED_AWAY,
    253: i.Result.TIMEOUT,
    252: i.Result.CONNECT_FAILED,
    251: i.Result.RESET,
    250: i.Result.CANCELLED,
    249: i.Result.NEVER_SENT,
}
CONDITIONS = {2: i.Condition.READY, 0: i.Condition.DRAINING, 1: i.Condition.GONE}
SCOPES = {0: i.ListScope.FAILED, 1: i.ListScope.CACHED, 2: i.ListScope.FULL, 3: i.ListScope.DELTA}
EFFECTS = {"free": i.Effect.SAFE, "guarded": i.Effect.KEYED, "single_shot": i.Effect.UNSAFE}
GROUPS = {"all": i.RepeatGroup.ALL, "zone": i.RepeatGroup.ZONE, "cell": i.RepeatGroup.CELL}
SHORTAGES = {"wait": i.Shortage.WAIT, "shrink": i.Shortage.SHRINK, "page": i.Shortage.PAGE}


class FrameError(ValueError):
    """A frame that is cut short or malformed."""


class SettingsError(ValueError):
    """Settings that lack what is needed or contradict themselves; the text names the key."""


class Start:
    """A fresh instance: its number, seed and settings text."""

    __slots__ = ("front", "seed", "text")

    def __init__(self, front: int, seed: int, text: bytes) -> None:
        self.front, self.seed, self.text = front, seed, text


class Down:
    """An instance was killed."""

    __slots__ = ("front",)

    def __init__(self, front: int) -> None:
        self.front = front


class Delivery:
    """One event for one instance. Lists are resolved here, in event order."""

    __slots__ = ("event", "front")

    def __init__(self, front: int, event: i.Event) -> None:
        self.front, self.event = front, event


def read_frame(stream: BinaryIO) -> tuple[int, int, bytes] | None:
    """Read one batch: record count, clock, body. None at a clean end of input."""
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise FrameError("input ended inside a batch header")
    count, size, clock = HEADER.unpack(head)
    if size < HEADER.size:
        raise FrameError(f"batch header gives a length of {size}")
    body = stream.read(size - HEADER.size)
    if len(body) < size - HEADER.size:
        raise FrameError("input ended inside a batch")
    return count, clock, body


def _engine(raw: bytes) -> int:
    return int.from_bytes(raw, "big")


class Reader:
    """Turns batch bodies into records; keeps the process-wide numbered lists and report fields."""

    def __init__(self) -> None:
        self.lists: dict[int, tuple[i.EngineEntry, ...]] = {}
        self.fields: dict[int, tuple[str, ...]] = {}

    def records(self, count: int, body: bytes) -> Iterator[Start | Down | Delivery]:
        pos = 0
        try:
            for _ in range(count):
                item, pos = self._one(body, pos)
                if item is not None:
                    yield item
        except (struct.error, IndexError, KeyError) as problem:
            raise FrameError(f"malformed record near byte {pos} of the batch: {problem!r}") from problem
        if pos != len(body):
            raise FrameError(f"{len(body) - pos} bytes left over after {count} records")

    def _report(self, front: int, body: bytes, pos: int) -> tuple[i.LoadReport | None, int]:
        n = body[pos]
        values = struct.unpack_from(f">{n}f", body, pos + 1)
        pos += 1 + 4 * n
        if n == 0:
            return None, pos
        named = dict(zip(self.fields.get(front, ()), values, strict=False))
        return i.LoadReport(named.get("cpu"), named.get("active"), named.get("waiting")), pos

    def _one(self, body: bytes, pos: int) -> tuple[Start | Down | Delivery | None, int]:
        code = body[pos]
        pos += 1
        if code == 12:
            front, rid, key, left, tenant, cls, bits, ram, tables, expected = ARRIVAL.unpack_from(body, pos)
            event: i.Event = i.Request(
                rid,
                cls,
                left,
                int(tables),
                key,
                tenant,
                bool(bits & 2),
                expected if bits & 1 and expected else None,
                ram if ram > 0 else None,
            )
            return Delivery(front, event), pos + ARRIVAL.size
        if code == 10:
            front, rid, go, engine, rc, took, terminal, bill = OUTCOME.unpack_from(body, pos)
            report, pos = self._report(front, body, pos + OUTCOME.size)
            work = (bill // 4096) * 1000 if bill else None
            memory = float(bill % 4096 * 4) if bill else None
            result = RESULTS[rc]
            event = i.Outcome(rid, go, _engine(engine), result, took, bool(terminal), work, memory, report)
            return Delivery(front, event), pos
        if code == 11:
            front, rid, go, engine, sort, amount = INTERIM.unpack_from(body, pos)
            pos += INTERIM.size
            kind = {1: i.NoteKind.PROGRESS, 2: i.NoteKind.SPILLS}.get(sort)
            if sort == 3:
                kind = i.NoteKind.WAITS_LOAD if amount == 2 else i.NoteKind.WAITS_MEMORY
            if kind is None:  # a sort this codec does not know: skipped, as an unknown key would be
                return None, pos
            return Delivery(front, i.Note(rid, go, _engine(engine), kind, amount)), pos
        if code == 4:
            front, token = FRONT_U64.unpack_from(body, pos)
            return Delivery(front, i.Timer(token)), pos + FRONT_U64.size
        if code == 9:
            front, scope, version, ref = TARGETS.unpack_from(body, pos)
            kind_ = SCOPES[scope]
            entries = () if kind_ is i.ListScope.FAILED else self.lists[ref]
            return Delivery(front, i.EngineList(kind_, entries, version)), pos + TARGETS.size
        if code == 7:
            ref, n = INVENTORY.unpack_from(body, pos)
            pos += INVENTORY.size
            if pos + n * ENTRY.size > len(body):
                raise IndexError("list runs past the end of the batch")
            found = []
            for started, engine, cell, health, kind_no, zone, units in ENTRY.iter_unpack(
                body[pos : pos + n * ENTRY.size]
            ):
                found.append(
                    i.EngineEntry(_engine(engine), CONDITIONS[health], started, cell, kind_no, zone, units)
                )
            self.lists[ref] = tuple(found)
            return None, pos + n * ENTRY.size
        if code == 5:
            front, rid = FRONT_U64.unpack_from(body, pos)
            return Delivery(front, i.ClientGone(rid)), pos + FRONT_U64.size
        if code == 2:
            front, rc, took, engine = STATUS.unpack_from(body, pos)
            report, pos = self._report(front, body, pos + STATUS.size)
            return Delivery(front, i.ProbeResult(_engine(engine), RESULTS[rc], took, report)), pos
        if code == 3:
            front, rid, go, engine, _took = FIRST.unpack_from(body, pos)
            return Delivery(front, i.StreamStarted(rid, go, _engine(engine))), pos + FIRST.size
        if code == 1:
            front, sender, n = PEER.unpack_from(body, pos)
            pos += PEER.size
            data = body[pos : pos + n]
            if len(data) < n:
                raise IndexError("message runs past the end of the batch")
            return Delivery(front, i.PeerMessage(sender, data)), pos + n
        if code == 8:
            front, seed, n = START_HEAD.unpack_from(body, pos)
            pos += START_HEAD.size
            text = body[pos : pos + n]
            if len(text) < n:
                raise IndexError("settings run past the end of the batch")
            return Start(front, seed, text), pos + n
        if code == 6:
            (front,) = FRONT.unpack_from(body, pos)
            return Down(front), pos + FRONT.size
        raise FrameError(f"record code {code} is not known")


def _raw(engine: int) -> bytes:
    return engine.to_bytes(6, "big")


def _text(text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:65535]
    return struct.pack(">H", len(raw)) + raw


def encode(front: int, action: i.Action) -> bytes:
    """One action as the wire writes it."""
    match action:
        case i.Send(request, engine, until):
            return struct.pack(">BIQQ6s", 65, front, request, until, _raw(engine))
        case i.SetTerms(request, memory, priority):
            return struct.pack(">BIQfB", 77, front, request, memory, priority)
        case i.SetTimer(at, token):
            return struct.pack(">BIQQ", 69, front, at, token)
        case i.Refuse(request, after):
            return struct.pack(">BIQI", 66, front, request, after)
        case i.Fail(request):
            return struct.pack(">BIQ", 67, front, request)
        case i.Cancel(request, attempt):
            return struct.pack(">BIQB", 68, front, request, attempt)
        case i.Probe(engine):
            return struct.pack(">BI6s", 70, front, _raw(engine))
        case i.CloseIdle(engine):
            return struct.pack(">BI6s", 71, front, _raw(engine))
        case i.Tell(peer, data):
            return struct.pack(">BIHH", 72, front, 0xFFFF if peer is None else peer, len(data)) + data
        case i.Watch(on):
            return struct.pack(">BIB", 75, front, on)
        case i.Fetch():
            return struct.pack(">BI", 76, front)
        case i.LogLine(text):
            return struct.pack(">BI", 73, front) + _text(text)
    raise TypeError(f"not an action: {action!r}")


def encode_exception(front: int, text: str) -> bytes:
    """The module broke: the simulator stops with this text."""
    return struct.pack(">BI", 74, front) + _text(text)


def reply(parts: list[bytes]) -> bytes:
    body = b"".join(parts)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body)) + body


# ---- settings ---------------------------------------------------------------------------------


def _need(table: dict[str, Any], key: str, where: str) -> Any:
    if key not in table:
        raise SettingsError(f"{where}{key} is missing")
    return table[key]


def _class(raw: dict[str, Any], number: int, extra: dict[str, Any]) -> i.ClassSpec:
    where = f"classes[{number}]."
    effect = raw.get("effect", "free")
    group = raw.get("group", "all")
    if effect not in EFFECTS:
        raise SettingsError(f"{where}effect is {effect!r}")
    if group not in GROUPS:
        raise SettingsError(f"{where}group is {group!r}")
    aim, deadline = int(_need(raw, "aim", where)), int(_need(raw, "deadline", where))
    if not 0 < aim <= deadline:
        raise SettingsError(f"{where}aim is {aim}, which must be above 0 and within the deadline {deadline}")

    def per_class(key: str, absent: Any) -> Any:
        values = extra.get(key) or []
        return values[number] if number < len(values) else absent

    threads = int(per_class("threads-by-class", 1))
    if threads < 1:
        raise SettingsError(f"extra.threads-by-class[{number}] is {threads}")
    return i.ClassSpec(
        aim_us=aim,
        deadline_us=deadline,
        worth=float(raw.get("worth", 1.0)),
        threads=threads,
        effect=EFFECTS[effect],
        aim_stretch=float(raw.get("aim-stretch", 0.0)),
        late_worth=float(raw.get("late-worth", 0.0)),
        repeat_group=GROUPS[group],
        repeat_window_us=int(raw.get("repeat-window", 0)),
        in_order=bool(raw.get("in-order", False)),
        only_zones=tuple(raw["stays-in"]) if raw.get("stays-in") is not None else None,
        only_kinds=tuple(raw["kinds-only"]) if raw.get("kinds-only") is not None else None,
        stream=bool(raw.get("stream", False)),
        holds_tables=bool(per_class("class-load", False)),
        waits_for_loads=bool(per_class("blocked-by-loads", False)),
    )


def _rules(raw: dict[str, Any]) -> i.Rules:
    spans = ("budget-span", "free-resends", "extra-ratio")
    given = [key for key in spans if key in raw]
    if given and "budget-span" not in raw:
        raise SettingsError(f"safety.{given[0]} is there but safety.budget-span is missing")
    if "overload-factor" in raw:
        for key in ("fall", "warm-after", "cold-share"):
            _need(raw, key, "safety.")
    share = float(raw.get("cold-share", 1.0))
    if not 0 < share <= 1:
        raise SettingsError(f"safety.cold-share is {share}")
    return i.Rules(
        answer_slack_us=int(raw.get("answer-slack", 0)),
        drain_within_us=int(raw.get("stop-sending-within", 0)),
        overload_factor=float(raw["overload-factor"]) if "overload-factor" in raw else None,
        cold_share=share,
        fall_us=int(raw.get("fall", 0)),
        warm_after_us=int(raw.get("warm-after", 0)),
        ask_within_us=int(raw["ask-within"]) if "ask-within" in raw else None,
        turn_gap_us=int(raw.get("turn-gap", 0)),
        budget_span_us=int(raw["budget-span"]) if "budget-span" in raw else None,
        budget_free=float(raw.get("free-resends", 0.0)),
        budget_ratio=float(raw.get("extra-ratio", 0.0)),
    )


def parse_settings(text: bytes | str) -> tuple[i.Settings, tuple[str, ...]]:
    """The settings JSON as Settings, and the names of the values in a load report."""
    try:
        raw = json.loads(text)
    except ValueError as problem:
        raise SettingsError(f"settings are not JSON: {problem}") from problem
    if not isinstance(raw, dict):
        raise SettingsError("settings are not a JSON object")
    extra = raw.get("extra") or {}
    limits = raw.get("policy-limits") or {}
    penalties = raw.get("penalties") or {}
    classes = _need(raw, "classes", "")
    if not classes:
        raise SettingsError("classes is empty")
    kinds = len(raw.get("kinds") or []) or 1
    cores = tuple(float(c) for c in extra.get("cpu-of-kind") or [])
    if cores and len(cores) < kinds:
        raise SettingsError("extra.cpu-of-kind is shorter than kinds")
    instances, slot = int(raw.get("instances", 1)), int(raw.get("slot-no", 0))
    if instances < 1:
        raise SettingsError(f"instances is {instances}")
    shortage = extra.get("out-of-memory", "wait")
    if shortage not in SHORTAGES:
        raise SettingsError(f"extra.out-of-memory is {shortage!r}")
    settings = i.Settings(
        classes=tuple(_class(one, n, extra) for n, one in enumerate(classes)),
        kind_cores=cores or (1.0,) * kinds,
        limits=i.Limits(
            most_tries=int(limits.get("most-tries", 1)),
            cancel=bool(limits.get("cancel", False)),
            probe=bool(limits.get("probing", False)),
            tell=bool(limits.get("may-tell", False)),
            second_copies=bool(limits.get("second-copies", False)),
            retry_after=bool(limits.get("retry-after", False)),
            max_retry_after_us=int(limits.get("max-retry-after", 0)),
            most_held=int(limits["most-held"]) if "most-held" in limits else None,
        ),
        rules=_rules(raw.get("safety") or {}),
        kind_memory_mb=tuple(float(m) for m in extra.get("kind-memory-mb") or []),
        tenants=tuple(i.Tenant(float(_need(o, "allowance-per-s", "orgs[]."))) for o in raw.get("orgs") or []),
        over_share_worth=float(raw.get("over-share-worth", 1.0)),
        instances=instances,
        slot=slot,
        zone=int(raw.get("zone", 0)),
        ask_discovery=raw.get("discovery") == "ask",
        grants=bool(extra.get("grants", False)),
        most_grant=float(extra.get("most-grant", 1.0)),
        shortage=SHORTAGES[shortage],
        priorities=bool(extra.get("takes-priority", False)),
        progress_us=int(extra.get("progress", 0)),
        tells_cost=bool(extra.get("says-cost", False)),
        cross_zone_price=float(penalties.get("cross-zone", 0.0)),
        late_fail_price=float(penalties.get("late-fail", 0.0)),
        waste_price=float(penalties.get("waste", 0.0)),
        peer_price=float(penalties.get("peer", 0.0)),
        tick_us=int(raw.get("tick", 0)),
    )
    return settings, tuple((raw.get("stats") or {}).get("fields") or ())
