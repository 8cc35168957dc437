"""Start-time fair queueing over a tree, by cost and weight (Goyal, Vin and Cheng, 1996).

Each node has a virtual time, and each of its children has a start tag. The active child with the smallest
start tag is served, and its tag then advances by cost / weight. When an idle child becomes active, its start
tag is raised to the node's virtual time if it is lower. So the child can't claim service for the time it was
idle, and its siblings aren't penalised for the service that they received meanwhile. While two children are
active, their service divided by weight differs by at most the sum of their largest cost / weight.

Start tags are kept in heaps with lazy deletion: a change pushes a new entry, and a stale entry is dropped
when it reaches the top of the heap.
"""

from __future__ import annotations

import heapq
from itertools import count

_ENTRY_IDS = count(1)  # unique over all queues
NO_ENTRY = 0  # entry ID of a node without a valid entry in its parent's heap
MAX_STALE_ENTRIES = 64  # a heap is rebuilt if it has more entries than twice the active children plus this


class FairQueueNode:
    """A node of the tree; `start_tag` orders it among its siblings."""

    __slots__ = (
        "_heap",
        "active_children",
        "active_weight",
        "children",
        "entry_id",
        "parent",
        "start_tag",
        "virtual_time",
        "weight",
    )

    def __init__(self, parent: FairQueueNode | None, weight: float) -> None:
        self.parent = parent
        self.weight = weight
        self.start_tag = 0.0
        self.virtual_time = 0.0
        self.entry_id = NO_ENTRY  # ID of the only valid entry of this node in the parent's heap
        self.active_children = 0
        self.active_weight = 0.0  # sum of the weights of all active children
        self.children: list[FairQueueNode] = []
        self._heap: list[tuple[float, int, FairQueueNode]] = []
        if parent is not None:
            parent.children.append(self)

    def activate(self) -> None:
        """Mark this inactive leaf, and its inactive ancestors, as active."""
        node: FairQueueNode = self
        while node.parent is not None:
            parent = node.parent
            node.start_tag = max(node.start_tag, parent.virtual_time)
            parent.active_children += 1
            parent.active_weight += node.weight
            parent._push(node)
            if parent.active_children > 1:
                return
            node = parent

    def deactivate(self) -> None:
        """Mark this active leaf as inactive, and each ancestor without another active child."""
        node: FairQueueNode = self
        while node.parent is not None:
            parent = node.parent
            node.entry_id = NO_ENTRY
            parent.active_children -= 1
            if parent.active_children:
                parent.active_weight -= node.weight
                return
            parent.active_weight = 0.0  # set to exactly 0 so that rounding errors don't accumulate
            node = parent

    def charge(self, cost: float) -> None:
        """Charge a served request: update start tags and virtual times from this leaf up to the root."""
        node: FairQueueNode = self
        while node.parent is not None:
            node.parent.virtual_time = max(node.parent.virtual_time, node.start_tag)
            node._advance(cost)
            node = node.parent

    def correct_charge(self, difference: float) -> None:
        """Correct an earlier charge by actual cost minus charged cost; the difference may be negative."""
        node: FairQueueNode = self
        while node.parent is not None:
            node._advance(difference)
            node = node.parent

    def share(self) -> float:
        """Returns this node's fraction of all service among the active nodes, counting itself as active."""
        fraction = 1.0
        node: FairQueueNode = self
        while node.parent is not None:
            own_weight = 0.0 if node.entry_id else node.weight
            competing_weight = node.parent.active_weight + own_weight
            fraction *= node.weight / max(competing_weight, node.weight)
            node = node.parent
        return fraction

    def first_child(self) -> FairQueueNode | None:
        """Returns the active child with the smallest start tag; None if no child is active."""
        while self._heap and self._heap[0][2].entry_id != self._heap[0][1]:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def _advance(self, cost: float) -> None:
        self.start_tag = max(0.0, self.start_tag + cost / self.weight)
        if self.entry_id and self.parent is not None:
            self.parent._push(self)

    def _push(self, child: FairQueueNode) -> None:
        child.entry_id = next(_ENTRY_IDS)
        heapq.heappush(self._heap, (child.start_tag, child.entry_id, child))
        if len(self._heap) > 2 * self.active_children + MAX_STALE_ENTRIES:
            self._heap = [entry for entry in self._heap if entry[2].entry_id == entry[1]]
            heapq.heapify(self._heap)


class FairQueue:
    """Decides the order in which the leaves of one tree are served."""

    def __init__(self) -> None:
        self.root = FairQueueNode(None, 1.0)

    def add(self, parent: FairQueueNode, weight: float) -> FairQueueNode:
        """Add a node below `parent`."""
        return FairQueueNode(parent, weight)

    def next_leaf(self) -> FairQueueNode | None:
        """Returns the leaf to serve next; None if no leaf is active.

        The search descends from the root to the active child with the smallest start tag at each level.
        """
        node: FairQueueNode | None = self.root
        while node is not None and node.children:
            node = node.first_child()
        return node
