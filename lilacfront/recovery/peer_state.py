"""Adapter between the state exchange and the journal of a running front end."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from lilacfront.logs import Log
from lilacfront.operations.state_record import OperatorDirective
from lilacfront.recovery.host import RecoveryHost
from lilacfront.recovery.journal import RecoveryJournal
from lilacfront.recovery.records import PeerDirectiveRecord
from lilacfront.recovery.restored_endpoints import LIFECYCLE_READY, RestoredEndpoints
from lilacfront.recovery.startup_stages import RecoveryStage, StartupStages
from lilacfront.recovery.state_encoding import ReadyList, short_id
from lilacfront.recovery.state_exchange import ExchangedState

log = Log(__name__)


class PeerState(ExchangedState):
    """Reads the state offered to peers from the journal, and applies the state that peers send."""

    def __init__(
        self,
        journal: RecoveryJournal,
        stages: StartupStages,
        endpoints: RestoredEndpoints,
        host: RecoveryHost,
    ) -> None:
        self._journal = journal
        self._stages = stages
        self._endpoints = endpoints
        self._host = host

    def stage_number(self) -> int:
        """Number of the current recovery stage."""
        return int(self._stages.stage)

    def recovering(self) -> bool:
        """Whether the stage `OPEN` has not been reached yet."""
        return self._stages.stage is not RecoveryStage.OPEN

    def own_directives(self) -> Iterable[OperatorDirective]:
        """Directives to this front end."""
        return self._journal.state.directives.values()

    def peer_directives(self) -> Mapping[int, Mapping[str, OperatorDirective]]:
        """Replicas of the directives to each peer."""
        return self._journal.state.peer_directives

    def ready_list(self) -> ReadyList:
        """The engines that the durable endpoint list shows as ready."""
        state = self._journal.state
        ready = (
            entry.instance_id for entry in state.endpoints.values() if entry.lifecycle == LIFECYCLE_READY
        )
        return ReadyList(state.list_seq, ready)

    def merge_peer_directives(self, owner: int, directives: list[OperatorDirective]) -> None:
        """Record those directives to a peer that are newer than in the replica."""
        for directive in directives:
            replicas = self._journal.state.peer_directives.get(owner, {})
            if directive.supersedes(replicas.get(directive.target)):
                self._journal.record(PeerDirectiveRecord(owner, directive))

    def restore_own_directives(self, directives: list[OperatorDirective]) -> None:
        """Apply directives to this front end from the replica of a peer."""
        log.warning("directives restored from peer", directives=len(directives))
        self._host.adopt_directives(directives)

    def apply_peer_ready_list(self, peer: int, seq: int, short_ids: set[int]) -> None:
        """Stop sending to engines that a peer's newer list does not show as ready."""
        state = self._journal.state
        if self._host.endpoints_confirmed() or not self._endpoints.restrict(state, seq, short_ids):
            return
        excluded = sum(short_id(instance_id) not in short_ids for instance_id in state.endpoints)
        log.warning("peer has newer endpoint list", peer=peer, seq=seq, excluded=excluded)
        self._host.apply_endpoints(self._endpoints.update(state))
