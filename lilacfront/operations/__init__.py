"""Operation of a running front end: admin commands, maintenance, draining, and replacing its processes.

- `service` coordinates the other modules; `host` is its interface to the rest of the process.
- Admin commands: `admin_protocol` (wire format), `admin_server` (sockets), `admin_commands`, `cli`,
  `peers_cli`.
- Operator directives: `operator_state` (merging), `directives` (effects), `maintenance` (suspensions).
- Lifecycle: `lifecycle` (stages and readiness), `drain` (decisions), `draining` (starting and ending drains).
- Hand-over between processes: `process_group`, `process_registry`, `state_directory`, `process_lock`,
  `state_writer`, `state_record` (file format), `learned_state`, `connection_transfer`, `transfer_messages`.

Without I/O: `admin_protocol`, `admin_commands`, `operator_state`, `maintenance`, `lifecycle`, `drain`,
`process_registry`, `state_record`, `learned_state`, `transfer_messages`.
"""
