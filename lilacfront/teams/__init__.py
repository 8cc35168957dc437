"""Team queues: fair queueing with budgets between the front ends and the router. No I/O.

A request enters its team's queue. The scheduler decides which queued request is admitted to the router next,
and rejects requests that can no longer be served in time. The router then selects the engine and decides on
retries. All times are passed in by the caller.
"""
