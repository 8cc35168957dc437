"""Membership of the front ends in a tier: failure detection, and gossip about fleet size and outliers.

`failure_detector` implements the SWIM protocol with `probing`, `suspicion`, `refutation`, `update_rules`,
`update_packing`, `reception` and `sender`. `messages` defines its messages and `codec` their wire format.
The routing decisions use `fleet_size` and `outlier_gossip`, which `integration` keeps up to date.
`service` runs the failure detector on the event loop, and `datagram_link` is the UDP socket; no other module
does I/O. `settings` reads the settings file, in which membership is turned on.
"""
