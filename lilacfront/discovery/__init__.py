"""Receives the endpoint list from the platform's change log or from an etcd watch.

`change_log` and `etcd_watch` are the two sources. `endpoint_list` decodes the entries that the sources write
and assigns engine numbers and addresses to them.
"""
