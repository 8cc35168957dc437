"""The other processes of this front end, with their states and channels. No I/O."""

from __future__ import annotations

from lilacfront.operations.connection_transfer import TransferChannel
from lilacfront.operations.lifecycle import LifecycleStage
from lilacfront.operations.state_record import ProcessState


class ProcessRegistry:
    """Processes by token. A process counts as running while it holds its lock file or has an open channel."""

    def __init__(self) -> None:
        self._locked: frozenset[str] = frozenset()
        self._channels: dict[TransferChannel, str] = {}
        self._states: dict[str, ProcessState] = {}

    def set_locked(self, tokens: frozenset[str]) -> None:
        """Set the tokens of the processes that hold their lock files."""
        self._locked = tokens

    def bind(self, channel: TransferChannel, token: str) -> bool:
        """Record the process at the other end of a channel; returns whether the channel is new."""
        is_new = channel not in self._channels
        self._channels[channel] = token
        return is_new

    def unbind(self, channel: TransferChannel) -> None:
        """Forget a closed channel."""
        self._channels.pop(channel, None)

    def accept(self, state: ProcessState) -> bool:
        """Record the state of a process; returns False if a newer one has been recorded."""
        known = self._states.get(state.token)
        if known is not None and known.saved_at_s > state.saved_at_s:
            return False
        self._states[state.token] = state
        return True

    def stages(self) -> dict[str, str]:
        """Return the stage of each running process by token; without a state it is `STARTING`."""
        running = self._locked | set(self._channels.values())
        states = {token: self._states.get(token) for token in running}
        return {
            token: LifecycleStage.STARTING.value if state is None else state.stage
            for token, state in states.items()
        }

    def has_successor(self) -> bool:
        """Return whether another process is running and not shutting down."""
        return any(stage != LifecycleStage.SHUTTING_DOWN.value for stage in self.stages().values())

    def successor_channel(self) -> TransferChannel | None:
        """Return the channel to the process that takes over, preferably one that is ready."""
        stages = self.stages()
        candidates = [
            (channel, stages.get(token))
            for channel, token in self._channels.items()
            if stages.get(token) != LifecycleStage.SHUTTING_DOWN.value
        ]
        ready = [channel for channel, stage in candidates if stage == LifecycleStage.READY.value]
        if ready:
            return ready[-1]
        return candidates[-1][0] if candidates else None

    def is_bound(self, token: str) -> bool:
        """Return whether there is a channel to the process."""
        return token in self._channels.values()

    def holds_keys(self, channel: TransferChannel) -> bool:
        """Return whether the process at the other end holds back requests of keys that this one uses."""
        state = self._states.get(self._channels.get(channel, ""))
        return state is not None and state.holds_keys is True

    def forget_ended(self) -> None:
        """Forget the states of processes that have ended."""
        running = self.stages()
        for token in [token for token in self._states if token not in running]:
            del self._states[token]
