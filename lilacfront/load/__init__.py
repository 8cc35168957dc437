"""The load generator: plans, traces, open-loop senders, latencies, reports. Not on the serving path."""
