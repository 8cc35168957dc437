"""Answers of engines that speak RESP: fields, load reports, notifications and paged results.

An answer has four words: call id, kind, fields and body.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lilacfront.core.model import Notification
from lilacfront.core.result_rows import are_rows
from lilacfront.decisions.events import LoadReport, NotificationKind
from lilacfront.protocols import resp

WORDS_PER_ANSWER = 4
MAX_PAGE_BYTES = 6_000
MAX_RESULT_BYTES = 48_000
MAX_PAGES = 64
MAX_DIGITS = 9  # digits of a page number or page count
MAX_NUMBER = 1e12  # numbers of this size or larger in load reports and notifications are ignored
WAITING_FOR_LOAD_VALUE = 2  # value of a `waiting` notification; any other means waiting for memory
# Kinds of answers: the first page of a result, a further page, two kinds of rejection, an error, and a
# notification.
HIT, PART, SHED, LATE, FAULT, INFO = b"HIT", b"PART", b"SHED", b"LATE", b"FAULT", b"INFO"
ANSWERS_WITHOUT_RESULT = (SHED, LATE, FAULT, INFO)
NOTIFICATION_KINDS = {b"so_far": NotificationKind.PROGRESS, b"lacking": NotificationKind.SPILLING}
# Alternative names of each value in a load report; the first one that is present counts.
UTILIZATION_FIELDS = (b"util", b"cpu")
IN_FLIGHT_FIELDS = (b"inflight", b"active")
QUEUED_FIELDS = (b"queue", b"waiting")


@dataclass(slots=True, frozen=True)
class Reply:
    """One answer to an attempt.

    Attributes:
        kind: The kind of the answer, such as `HIT` or `SHED`.
        fields: The values of the fields, by name.
        body: A page of the result, or an error text.
    """

    kind: bytes
    fields: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True)
class PagedResult:
    """The received pages of a result.

    Attributes:
        page_count: Number of pages of the complete result; 0 until the first page has been received.
        pages: The received pages, by number, from 0.
    """

    page_count: int = 0
    pages: dict[int, bytes] = field(default_factory=dict)

    @property
    def has_first_page(self) -> bool:
        """Whether the first page has been received, which gives the number of pages."""
        return self.page_count > 0

    @property
    def is_complete(self) -> bool:
        """Whether all pages have been received."""
        return self.has_first_page and len(self.pages) == self.page_count

    @property
    def missing_pages(self) -> list[int]:
        """Numbers of the pages after the first that have not been received."""
        return [number for number in range(1, self.page_count) if number not in self.pages]

    def accept(self, reply: Reply) -> bool:
        """Add the page of a reply, if it has one; return False if the reply has to be ignored.

        A duplicate page and a page before the first one are ignored.

        Raises:
            RespError: The kind of the reply is unknown, or the page is invalid.
        """
        if reply.kind == HIT:
            if self.has_first_page:
                return False
            page_count = parse_count(reply.fields.get(b"pages", b"1"))
            if not 1 <= page_count <= MAX_PAGES:
                raise resp.RespError(f"page count of a result is not between 1 and {MAX_PAGES}")
            self.page_count = page_count
            self._add_page(0, reply.body)
        elif reply.kind == PART:
            number = parse_count(reply.fields.get(b"page", b""))
            if number in self.pages or not self.has_first_page:
                return False
            self._add_page(number, reply.body)
        elif reply.kind not in ANSWERS_WITHOUT_RESULT:
            raise resp.RespError(f"unknown kind of answer: {reply.kind[:20]!r}")
        return True

    def join(self) -> bytes:
        """Return the complete result."""
        return b"".join(self.pages[number] for number in range(self.page_count))

    def _add_page(self, number: int, body: bytes) -> None:
        if not 0 <= number < self.page_count:
            raise resp.RespError(f"page number {number} is not between 0 and {self.page_count - 1}")
        # A page that is not made of complete rows of text was corrupted and must not reach a client.
        if not are_rows(body):
            raise resp.RespError(f"page {number} does not consist of complete UTF-8 rows of three columns")
        self.pages[number] = body
        if sum(map(len, self.pages.values())) > MAX_RESULT_BYTES:
            raise resp.RespError(f"result exceeds {MAX_RESULT_BYTES} bytes")


def parse_count(text: bytes) -> int:
    """Parse a non-negative decimal number; return -1 for anything else."""
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else -1


def parse_fields(raw: bytes) -> dict[bytes, bytes]:
    """Parse fields such as `name=value,name=value`; `-` stands for no fields."""
    if raw == b"-":
        return {}
    pairs = (part.partition(b"=") for part in raw.split(b","))
    return {name: value for name, _, value in pairs}


def parse_load_report(raw: bytes | None) -> LoadReport | None:
    """Parse a load report such as `inflight:7;util:0.61`; values that are missing in it are None."""
    if raw is None:
        return None
    pairs = (part.partition(b":") for part in raw.split(b";"))
    numbers = {name: _parse_number(value) for name, _, value in pairs}
    return LoadReport(
        cpu_utilization=_first_of(numbers, UTILIZATION_FIELDS),
        in_flight=_first_of(numbers, IN_FLIGHT_FIELDS),
        queued=_first_of(numbers, QUEUED_FIELDS),
    )


def parse_notification(fields: dict[bytes, bytes]) -> Notification | None:
    """Parse the fields of an INFO answer; return None if its kind is unknown or its value invalid."""
    reason = fields.get(b"why", b"")
    value = _parse_number(fields.get(b"v", b""))
    if value is None:
        return None
    if reason == b"waiting":
        is_load = value == WAITING_FOR_LOAD_VALUE
        kind = NotificationKind.WAITING_FOR_LOAD if is_load else NotificationKind.WAITING_FOR_MEMORY
        return Notification(kind, value)
    known_kind = NOTIFICATION_KINDS.get(reason)
    return None if known_kind is None else Notification(known_kind, value)


def _first_of(numbers: dict[bytes, float | None], names: tuple[bytes, ...]) -> float | None:
    return next((numbers[name] for name in names if name in numbers), None)


def _parse_number(text: bytes) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if abs(value) < MAX_NUMBER else None
