"""The operator directives of a front end, merged from all of its processes. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from lilacfront.operations.state_record import PAUSE_TARGET, OperatorDirective, merge_directives

MAX_SUSPENDED = 4096  # largest number of suspended warehouses; fleets have some hundreds
MAX_KNOWN_IDS = 8192  # largest number of remembered ids, including those of removed warehouses
MAX_DIRECTIVES = MAX_SUSPENDED + MAX_KNOWN_IDS


class OperatorState:
    """The latest directive for each target.

    Methods that change directives return those newly in force, which the caller has to apply.

    Attributes:
        token: Unique id of this process, the author of the directives that it issues.
        directives: The latest directive for each target.
        paused_at: Unix time in seconds at which the pause was issued; infinite without a pause.
    """

    def __init__(self, token: str, clock: Callable[[], float]) -> None:
        """Start without directives.

        Args:
            token: Unique id of this process.
            clock: Returns the Unix time in seconds.
        """
        self.token = token
        self._clock = clock
        self.directives: dict[str, OperatorDirective] = {}
        self._known_ids: dict[str, None] = {}  # an ordered set, most recently listed last
        self.paused_at = math.inf

    @property
    def paused(self) -> bool:
        """Whether a pause is in force."""
        return self.paused_at < math.inf

    @property
    def suspended(self) -> list[str]:
        """The sorted ids of the suspended warehouses."""
        return sorted(
            directive.target
            for directive in self.directives.values()
            if directive.active and directive.target != PAUSE_TARGET
        )

    def is_suspended(self, warehouse_id: str) -> bool:
        """Return whether this warehouse is suspended."""
        directive = self.directives.get(warehouse_id)
        return directive is not None and directive.active

    def is_known(self, warehouse_id: str) -> bool:
        """Return whether the id is remembered from the endpoint list."""
        return warehouse_id in self._known_ids

    def record_listed(self, warehouse_ids: Iterable[str]) -> None:
        """Remember ids from the endpoint list; if there are too many, forget those listed least recently."""
        for warehouse_id in warehouse_ids:
            self._known_ids.pop(warehouse_id, None)
            self._known_ids[warehouse_id] = None
        while len(self._known_ids) > MAX_KNOWN_IDS:
            del self._known_ids[next(iter(self._known_ids))]

    def set_active(self, target: str, active: bool) -> list[OperatorDirective]:
        """Issue a directive in the name of this process, unless it would change nothing."""
        previous = self.directives.get(target)
        if (previous is not None and previous.active) is active:
            return []
        now = self._clock()
        highest_revision = max((directive.revision for directive in self.directives.values()), default=0)
        active_since_s = now if active or previous is None else previous.active_since_s
        directive = OperatorDirective(target, highest_revision + 1, self.token, active, active_since_s, now)
        return self.merge([directive])

    def merge(self, directives: Iterable[OperatorDirective]) -> list[OperatorDirective]:
        """Merge directives, and return those newly in force."""
        accepted = merge_directives(self.directives, directives)
        for directive in accepted:
            if directive.target == PAUSE_TARGET:
                self.paused_at = directive.issued_at_s if directive.active else math.inf
        return accepted

    def adopt(self, directives: Iterable[OperatorDirective]) -> list[OperatorDirective]:
        """Merge directives of this front end from before a power loss, read from disk or received from peers.

        Directives issued by this process are newer and take precedence whatever their revision. If a restored
        directive has a higher revision, the one of this process is issued again with a still higher one.
        """
        restored: list[OperatorDirective] = []
        reissued: list[OperatorDirective] = []
        for directive in directives:
            current = self.directives.get(directive.target)
            if current is None or current.author != self.token:
                restored.append(directive)
            elif directive.supersedes(current):
                reissued.append(self._reissue(current, directive.revision + 1))
        return self.merge([*restored, *reissued])

    def _reissue(self, directive: OperatorDirective, revision: int) -> OperatorDirective:
        return OperatorDirective(
            directive.target,
            revision,
            self.token,
            directive.active,
            directive.active_since_s,
            directive.issued_at_s,
        )

    def forget_expired(self, is_only_copy: bool, max_age_s: float) -> list[str]:
        """Forget restorations older than `max_age_s`; returns their targets.

        While other processes or stores have copies of the directives, nothing is forgotten until there are
        more than `MAX_DIRECTIVES`: a merged copy of the older suspension would be in force again.

        Args:
            is_only_copy: Whether no other process or store has directives of this front end.
            max_age_s: Age in seconds up to which restorations are kept.
        """
        if not is_only_copy and len(self.directives) <= MAX_DIRECTIVES:
            return []
        issued_before = self._clock() - max_age_s
        expired = [
            directive.target
            for directive in self.directives.values()
            if not directive.active and directive.issued_at_s < issued_before
        ]
        for target in expired:
            del self.directives[target]
        return expired
