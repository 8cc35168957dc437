"""The tree of teams: each node has a budget and a concurrency limit, and each leaf has a queue."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from lilacfront.teams.fair_queue import FairQueue, FairQueueNode
from lilacfront.teams.queued_request import QueuedRequest, Urgency
from lilacfront.teams.settings import TeamSettings, TeamsSettings, ancestor_paths, parent_path
from lilacfront.teams.surplus_pool import SurplusPool
from lilacfront.teams.team_budget import TeamBudget
from lilacfront.teams.token_bucket import TokenBucket

ROOT_PATH = ""
MAX_RECENT_DECISIONS = 64  # kept per team for diagnosis

QueueEntry = tuple[Urgency, QueuedRequest]


def _entry_urgency(entry: QueueEntry) -> Urgency:
    return entry[0]


@dataclass(slots=True, eq=False)
class TeamNode:
    """A node of the tree.

    Attributes:
        settings: The node's settings; None for the root.
        bucket: The node's budget; None if it has none.
        pool: The surplus budget of the child nodes.
        running: Number of requests of this node's subtree that are admitted and have not ended.
        blocked_queues: Queues of this node's subtree that wait for a running request to end, in the order
            in which they were blocked.
    """

    settings: TeamSettings | None
    bucket: TokenBucket | None
    pool: SurplusPool
    running: int = 0
    blocked_queues: dict[TeamQueue, None] = field(default_factory=dict)

    @property
    def is_at_limit(self) -> bool:
        """Whether the number of running requests has reached the node's concurrency limit."""
        limit = self.settings.max_concurrency if self.settings is not None else None
        return limit is not None and self.running >= limit


@dataclass(slots=True, eq=False)
class TeamQueue:
    """The queue of a leaf, ordered by urgency.

    Attributes:
        settings: The settings of the queue's team.
        budget_order_node: The queue's leaf in the order of teams that are within their budgets.
        borrowing_order_node: The queue's leaf in the order of teams that can only borrow.
        budget: The buckets and pools from the team to the root.
        path: The nodes from the leaf to the root, the leaf first.
        entries: The requests with their urgencies, the most urgent last.
        queued_bytes: Total size of the queued statements in bytes.
        queued_cost: Total expected cost of the queued requests in thread-seconds.
        active_order_node: The leaf that is active, one of the two above; None if no request may start.
        throttled_until: Time at which a throttled queue's budget is rechecked.
        recent_decisions: The latest decisions on the team's requests as text, for diagnosis.
    """

    settings: TeamSettings
    budget_order_node: FairQueueNode
    borrowing_order_node: FairQueueNode
    budget: TeamBudget
    path: tuple[TeamNode, ...]
    entries: list[QueueEntry] = field(default_factory=list)
    queued_bytes: int = 0
    queued_cost: float = 0.0
    active_order_node: FairQueueNode | None = None
    throttled_until: float = 0.0
    recent_decisions: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_DECISIONS))

    @property
    def most_urgent(self) -> QueuedRequest:
        """The request to admit next; the queue must not be empty."""
        return self.entries[-1][1]

    @property
    def least_urgent(self) -> QueuedRequest:
        """The request to displace first; the queue must not be empty."""
        return self.entries[0][1]

    @property
    def cost_per_weight(self) -> float:
        """The queued cost divided by the team's weight."""
        return self.queued_cost / self.settings.weight

    def insert(self, request: QueuedRequest) -> None:
        """Insert a request by urgency."""
        insort(self.entries, (request.urgency, request), key=_entry_urgency)
        self.queued_bytes += request.size_bytes
        self.queued_cost += request.cost

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request, which must be in the queue."""
        index = self._index(request.urgency)
        assert self.entries[index][1] is request
        del self.entries[index]
        self.queued_bytes -= request.size_bytes
        # Set to exactly 0 when the queue is empty so that rounding errors don't accumulate.
        self.queued_cost = self.queued_cost - request.cost if self.entries else 0.0

    def count_more_urgent(self, request: QueuedRequest) -> int:
        """Returns the number of requests that are more urgent than a queued one."""
        return len(self.entries) - 1 - self._index(request.urgency)

    def cost_ahead(self, patience_ends_at: float) -> float:
        """Returns the expected cost, in thread-seconds, of the requests ahead of a new request.

        It is the number of more urgent requests times the mean cost of all queued requests.
        """
        if not self.entries:
            return 0.0
        ahead = len(self.entries) - self._index((-patience_ends_at, float("-inf")))
        return self.queued_cost * ahead / len(self.entries)

    def limiting_node(self) -> TeamNode | None:
        """Returns the nearest node on the path that is at its concurrency limit; None if there is none."""
        for node in self.path:
            if node.is_at_limit:
                return node
        return None

    def _index(self, urgency: tuple[float, float]) -> int:
        return bisect_left(self.entries, urgency, key=_entry_urgency)


class TeamTree:
    """All nodes and queues of one version of the settings.

    Attributes:
        settings: The settings from which the tree was built.
        queues: The queue of each leaf, by team path.
        budget_order: The order of service of teams within their budgets.
        borrowing_order: The order of service of teams that can only borrow.
    """

    def __init__(self, settings: TeamsSettings, previous: TeamTree | None = None) -> None:
        """Build the tree; budget levels of nodes with the same path carry over from `previous`."""
        self.settings = settings
        self.queues: dict[str, TeamQueue] = {}
        self.budget_order = FairQueue()
        self.borrowing_order = FairQueue()
        self._nodes: dict[str, TeamNode] = {ROOT_PATH: TeamNode(None, None, SurplusPool())}
        self._order_nodes = {ROOT_PATH: (self.budget_order.root, self.borrowing_order.root)}
        self._queue_of: dict[FairQueueNode, TeamQueue] = {}
        self._refills: list[tuple[TokenBucket, SurplusPool]] = []  # bucket, pool for its overflow
        previous_nodes: Mapping[str, TeamNode] = previous._nodes if previous is not None else {}
        for path in sorted(settings.teams, key=lambda name: name.count("/")):
            self._add_node(settings.teams[path], previous_nodes.get(path))
            if path in settings.leaves:
                self._add_queue(settings.teams[path])

    def queue_of_node(self, order_node: FairQueueNode) -> TeamQueue:
        """Returns the queue of a leaf of one of the two orders."""
        return self._queue_of[order_node]

    def queue_of_team(self, team: str) -> TeamQueue:
        """Returns the queue of a team; the default team's queue if the tree has no such leaf."""
        return self.queues.get(team) or self.queues[self.settings.default]

    def refill(self, seconds: float) -> None:
        """Add the tokens for `seconds` to all buckets; overflow goes to the pools of the parent nodes."""
        for bucket, pool in self._refills:
            if overflow := bucket.refill(seconds):
                pool.contribute(bucket, overflow)

    def _add_node(self, team: TeamSettings, previous: TeamNode | None) -> None:
        parent = parent_path(team.name)
        budget_parent, borrowing_parent = self._order_nodes[parent]
        self._order_nodes[team.name] = (
            self.budget_order.add(budget_parent, team.weight),
            self.borrowing_order.add(borrowing_parent, team.weight),
        )
        bucket = None
        if team.budget_rate is not None:
            bucket = TokenBucket(team.budget_rate, team.burst)
            if previous is not None and previous.bucket is not None:
                bucket.level = min(bucket.burst, previous.bucket.level)
            self._refills.append((bucket, self._nodes[parent].pool))
        self._nodes[team.name] = TeamNode(team, bucket, SurplusPool())

    def _add_queue(self, team: TeamSettings) -> None:
        path = tuple(self._nodes[name] for name in (team.name, *ancestor_paths(team.name), ROOT_PATH))
        budget_node, borrowing_node = self._order_nodes[team.name]
        budget = TeamBudget((node.bucket, node.pool) for node in path)
        queue = TeamQueue(team, budget_node, borrowing_node, budget, path)
        self.queues[team.name] = queue
        self._queue_of[budget_node] = queue
        self._queue_of[borrowing_node] = queue
