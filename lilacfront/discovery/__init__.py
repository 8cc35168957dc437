"""Receives the endpoint list from the platform's change log or from an etcd watch.

`change_log` and `etcd_watch` are the clients of the two sources. `endpoint_list` converts the sources'
entries to events for the routing decisions, assigns engine numbers and keeps the addresses of the engines.
"""
