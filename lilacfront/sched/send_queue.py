"""The bytes of one stream that wait until the kernel accepts them."""

from __future__ import annotations

import socket
from collections import deque

from lilacfront.sched.chunk import Chunk
from lilacfront.sched.loop import Loop
from lilacfront.sched.send_budget import SendBudget

# The most chunks that one system call sends.
MAX_GATHERED_CHUNKS = 64


class SendQueue:
    """A queue of chunks, whose size counts towards a budget that several streams share.

    Attributes:
        size_bytes: The memory of the chunks in the queue. A chunk counts in full until the kernel has
            accepted all of it, it is withdrawn, or the queue is cleared.
        progress_at: Time at which the kernel last accepted bytes, or the queue was last empty before a write.
    """

    def __init__(self, loop: Loop, budget: SendBudget) -> None:
        self._loop = loop
        self._budget = budget
        self._chunks: deque[Chunk] = deque()
        self._final_chunks = 0
        self.size_bytes = 0
        self.progress_at = loop.now

    def __bool__(self) -> bool:
        """Whether there are chunks in the queue."""
        return bool(self._chunks)

    @property
    def holds_final_answer(self) -> bool:
        """Whether a final answer is queued that is not sent in full."""
        return self._final_chunks > 0

    def append(self, chunk: Chunk) -> None:
        """Queue a chunk. The budget may close streams that have no final answer queued, also this one."""
        if not self._chunks:
            self.progress_at = self._loop.now
        self._chunks.append(chunk)
        self._final_chunks += chunk.is_final
        self.size_bytes += chunk.memory_bytes
        self._budget.add(chunk.memory_bytes)

    def send(self, sock: socket.socket) -> None:
        """Send as many bytes as the kernel accepts now.

        Raises:
            OSError: The connection has failed.
        """
        self._remove_finished()
        while self._chunks:
            batch = [chunk for chunk in list(self._chunks)[:MAX_GATHERED_CHUNKS] if chunk.is_sendable]
            if batch and not self._send_batch(sock, batch):
                return
            # Without a batch, all of these chunks are withdrawn now.
            self._remove_finished()

    def _send_batch(self, sock: socket.socket, batch: list[Chunk]) -> bool:
        """Send the chunks; returns whether the kernel has accepted any bytes."""
        first = memoryview(batch[0].data)[batch[0].sent :]
        try:
            sent = sock.sendmsg([first, *(chunk.data for chunk in batch[1:])])
        except BlockingIOError:
            return False
        self.progress_at = self._loop.now
        for chunk in batch:
            part = min(sent, chunk.size - chunk.sent)
            chunk.sent += part
            sent -= part
        return True

    def _remove_finished(self) -> None:
        """Remove fully sent and withdrawn chunks from the head of the queue."""
        while self._chunks and (self._chunks[0].withdrawn or self._chunks[0].is_fully_sent):
            self._remove_first()

    def _remove_first(self) -> None:
        chunk = self._chunks.popleft()
        chunk.release()
        self._final_chunks -= chunk.is_final
        self.size_bytes -= chunk.memory_bytes
        self._budget.remove(chunk.memory_bytes)

    def clear(self) -> None:
        """Drop all chunks."""
        while self._chunks:
            self._remove_first()
