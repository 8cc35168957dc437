"""Membership of several front end processes with injected faults.

The tests wait for the states and log events that the processes report, with long timeouts, and don't measure
times.
"""

import signal
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

from lilacfront.lab.fault_injection import FaultInjector
from lilacfront.lab.fault_script import Fault, FaultScript
from lilacfront.lab.fleet import Fleet
from lilacfront.lab.test_bed import wait_until
from lilacfront.lab.thrift_client import ThriftClient
from lilacfront.membership.settings import MembershipSettings, MembershipUses


@contextmanager
def running_fleet(
    directory: Path, members: int, uses: MembershipUses | None = None, **script_fields: Any
) -> Iterator[Fleet]:
    fleet = Fleet(
        directory,
        FaultScript(
            members=members,
            membership=MembershipSettings(enabled=True, uses=uses or MembershipUses()),
            **script_fields,
        ),
        3,
    )
    try:
        yield fleet.wait_until_ready()
    finally:
        fleet.close()


def all_live_see_each_other(fleet: Fleet) -> bool:
    """Whether each live member of the current version has all of them as alive in its view."""
    live = [
        member
        for member in range(fleet.script.members)
        if member not in fleet.ended and member not in fleet.script.legacy_members
    ]
    return all(
        (view := fleet.view(viewer)) is not None and all(view[member] == "alive" for member in live)
        for viewer in live
    )


def incarnation_seen_by(fleet: Fleet, viewer: int, member: int) -> int:
    line = fleet.processes[viewer].admin_request("PEERS").splitlines()[1 + member]
    return int(line.split("incarnation=")[1].split(" ")[0])


def test_stopped_member_is_dead_and_one_way_cut_member_is_not(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4) as fleet:
        # Indirect pings bridge the cut from member 0 to member 1. The cut lasts while member 2 is stopped,
        # declared dead and resumed.
        FaultInjector(fleet).inject(
            Fault(at_s=0, action="cut", targets=[0], destinations=[1], bidirectional=False)
        )
        fleet.pause(2)
        wait_until(lambda: fleet.all_see_state(2, "dead"), "all members to see the stopped member as dead")
        assert "dead" not in (fleet.state_seen_by(0, 1), fleet.state_seen_by(1, 0))
        fleet.resume(2)
        wait_until(lambda: fleet.all_see_state(2, "alive"), "all members to see the resumed member as alive")
        stopped = fleet.processes[2]
        assert not stopped.logged("member state changed", state="dead")
        FaultInjector(fleet).inject(Fault(at_s=0, action="heal"))
        wait_until(lambda: all_live_see_each_other(fleet), "all live members to see each other as alive")


def test_new_incarnation_of_a_restarted_member_is_disseminated(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4) as fleet:
        wait_until(lambda: all_live_see_each_other(fleet), "all live members to see each other as alive")
        old_incarnation = incarnation_seen_by(fleet, 0, 3)
        fleet.kill(3)
        fleet.start(3)
        fleet.processes[3].wait_until_ready()
        wait_until(
            lambda: all(incarnation_seen_by(fleet, viewer, 3) > old_incarnation for viewer in range(3)),
            "all members to see the new incarnation",
        )
        wait_until(lambda: all_live_see_each_other(fleet), "all live members to see each other as alive")


def test_leaving_member_is_left_and_never_dead(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4) as fleet:
        wait_until(lambda: all_live_see_each_other(fleet), "all live members to see each other as alive")
        leaving = fleet.processes[1]
        leaving.signal(signal.SIGTERM)
        assert leaving.wait_until_ended() == 0
        fleet.ended.add(1)
        wait_until(lambda: fleet.all_see_state(1, "left"), "all members to see the leaving member as left")
        assert not fleet.processes[0].logged("member state changed", member=1, state="dead")


def test_member_paused_by_operator_is_left_until_resumed(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4) as fleet:
        assert fleet.processes[2].admin_request("PAUSE").startswith("ok")
        wait_until(lambda: fleet.all_see_state(2, "left"), "all members to see the paused member as left")
        assert fleet.processes[2].admin_request("RESUME").startswith("ok")
        wait_until(lambda: fleet.all_see_state(2, "alive"), "all members to see the resumed member as alive")


def test_member_without_incoming_messages_declares_no_member_dead(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4) as fleet:
        FaultInjector(fleet).inject(
            Fault(at_s=0, action="cut", targets=[1, 2, 3], destinations=[0], bidirectional=False)
        )
        fleet.processes[0].wait_for_log("isolated from peers")
        assert "dead" not in (fleet.view(0) or ())
        FaultInjector(fleet).inject(Fault(at_s=0, action="heal"))
        fleet.processes[0].wait_for_log("isolation from peers ended")
        wait_until(lambda: all_live_see_each_other(fleet), "all live members to see each other as alive")


def test_member_without_outgoing_messages_is_dead_and_declares_no_member_dead(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4) as fleet:
        FaultInjector(fleet).inject(
            Fault(at_s=0, action="cut", targets=[0], destinations=[1, 2, 3], bidirectional=False)
        )
        wait_until(lambda: fleet.all_see_state(0, "dead"), "all members to see member 0 as dead")
        assert "dead" not in (fleet.view(0) or ())  # it receives messages, but no acks
        FaultInjector(fleet).inject(Fault(at_s=0, action="heal"))
        wait_until(lambda: all_live_see_each_other(fleet), "all live members to see each other as alive")


def test_crash_is_detected_with_lost_duplicate_and_late_messages(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 5, loss_fraction=0.2, duplicate_fraction=0.2, late_fraction=0.2) as fleet:
        fleet.kill(4)
        wait_until(lambda: fleet.all_see_state(4, "dead"), "all members to see the killed member as dead")
        wait_until(lambda: all_live_see_each_other(fleet), "all live members to see each other as alive")


def test_shares_grow_after_simultaneous_crashes_and_shrink_after_restarts(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 6, MembershipUses(turns=True, thread_limit=True, quotas=True)) as fleet:
        killed = (1, 2, 4, 5)
        for member in killed:
            fleet.kill(member)
        wait_until(
            lambda: all(fleet.all_see_state(member, "dead") for member in killed),
            "the remaining members to see all killed members as dead",
        )
        for member in (0, 3):  # two of six are live, but at least half are always counted
            peers_answer = partial(fleet.processes[member].admin_request, "PEERS")
            wait_until(
                lambda peers_answer=peers_answer: "divided by 3" in peers_answer(),  # type: ignore[misc]
                f"a fleet size of 3 at member {member}",
            )
            assert not fleet.processes[member].logged("fleet size in use", count=2)
        for member in killed:
            fleet.start(member)
        wait_until(lambda: all_live_see_each_other(fleet), "all members to see each other as alive")
        for member in (0, 3):
            peers_answer = partial(fleet.processes[member].admin_request, "PEERS")
            wait_until(
                lambda peers_answer=peers_answer: "divided by 6" in peers_answer(),  # type: ignore[misc]
                f"a fleet size of 6 at member {member}",
            )


def test_halves_of_a_partition_merge_after_changes_on_one_side(tmp_path: Path) -> None:
    # Members 4 and 6 stay on one side, as a single member would count itself as isolated.
    with running_fleet(tmp_path, 7) as fleet:
        FaultInjector(fleet).inject(Fault(at_s=0, action="cut", targets=[0, 1, 2]))
        fleet.kill(3)
        fleet.leave(5)
        wait_until(lambda: fleet.state_seen_by(4, 5) == "left", "member 4 to see member 5 as left")
        wait_until(
            lambda: fleet.state_seen_by(0, 4) == "dead" == fleet.state_seen_by(4, 0),
            "members 0 and 4 to see each other as dead",
        )
        fleet.start(3)
        wait_until(
            lambda: fleet.state_seen_by(4, 3) == "alive", "member 4 to see the restarted member 3 as alive"
        )
        FaultInjector(fleet).inject(Fault(at_s=0, action="heal"))
        wait_until(lambda: all_live_see_each_other(fleet), "all live members to see each other as alive")
        wait_until(
            lambda: all(fleet.state_seen_by(viewer, 5) in ("left", "dead") for viewer in (0, 1, 2, 3, 4, 6)),
            "all members to see member 5 as left or dead",
        )


def test_false_updates_of_single_members_are_tolerated(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 6) as fleet:
        FaultInjector(fleet).inject(Fault(at_s=0, action="lie", targets=[1], lie="all dead"))
        FaultInjector(fleet).inject(Fault(at_s=0, action="lie", targets=[2], lie="dead live"))
        fleet.kill(5)
        wait_until(
            lambda: all(fleet.state_seen_by(viewer, 5) == "dead" for viewer in (0, 3, 4)),
            "members 0, 3 and 4 to see member 5 as dead",
        )
        wait_until(
            lambda: all(
                fleet.state_seen_by(viewer, member) == "alive" for viewer in (0, 3, 4) for member in range(5)
            ),
            "members 0, 3 and 4 to see members 0 to 4 as alive",
        )


def test_front_end_of_an_older_version_works_beside_newer_ones(tmp_path: Path) -> None:
    uses = MembershipUses(turns=True, thread_limit=True, quotas=True, outliers=True)
    with running_fleet(tmp_path, 4, uses, warehouses=2, legacy_members=[3]) as fleet:
        legacy_process = fleet.processes[3]
        clients = Clients(fleet)
        clients.send_lookups(3)
        fleet.kill(1)
        wait_until(
            lambda: fleet.all_see_state(1, "dead", excluded=(1,)), "all members to see member 1 as dead"
        )
        fleet.start(1)
        wait_until(
            lambda: all(
                fleet.state_seen_by(viewer, member) == "alive" for viewer in (0, 1, 2) for member in (0, 1, 2)
            ),
            "members 0 to 2 to see each other as alive",
        )
        # The older version drops the messages of the newer one and still serves requests.
        assert legacy_process.admin_request("PEERS").startswith("fail")
        assert legacy_process.admin_request("STATUS").startswith("ok")
        clients.send_lookups(3)
        assert not [line for line in legacy_process.log_lines if line.get("level") in ("error", "critical")]


class Clients:
    """One client per front end; each request has another table group.

    A client connects with its first request, as a front end closes a connection that sends nothing for 2.6 s.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._addresses = [test_bed.address for test_bed in fleet.test_beds]
        self._clients: dict[int, ThriftClient] = {}
        self._last_request = 0

    def send_lookups(self, *front_ends: int) -> None:
        """Send a lookup to each of these front ends, and check that an engine serves it."""
        for front_end in front_ends:
            self._last_request += 1
            if front_end not in self._clients:
                self._clients[front_end] = ThriftClient(self._addresses[front_end])
            client = self._clients[front_end]
            reply = client.wait_for_reply(client.send_request(self._last_request, group=self._last_request))
            assert reply is not None
            assert reply.kind == "answer"


def test_engine_reported_by_other_front_ends_is_an_outlier_until_it_responds(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4, MembershipUses(outliers=True), warehouses=3) as fleet:
        FaultInjector(fleet).inject(Fault(at_s=0, action="shut", targets=[0]))
        unreachable = fleet.services.warehouses["s-1"]
        clients, observer = Clients(fleet), fleet.processes[3]

        def reported() -> bool:
            clients.send_lookups(0, 1, 2)
            return bool(observer.logged("outlier reported by peers", warehouse=unreachable.address))

        def cleared() -> bool:
            clients.send_lookups(0, 1, 2, 3)
            return bool(observer.logged("outlier cleared"))

        def receives_requests() -> bool:
            clients.send_lookups(3)
            return bool(unreachable.received)

        wait_until(reported, "front end 3, which sent no requests, to log the outlier")
        assert "doubted: " + unreachable.address in observer.admin_request("PEERS")
        FaultInjector(fleet).inject(Fault(at_s=0, action="open", targets=[0]))
        wait_until(cleared, "front end 3 to clear the outlier")
        wait_until(receives_requests, "the recovered warehouse to receive requests")


def test_unreachable_engine_is_not_reported_if_outliers_are_off(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4, MembershipUses(outliers=False), warehouses=3) as fleet:
        FaultInjector(fleet).inject(Fault(at_s=0, action="shut", targets=[0]))
        clients = Clients(fleet)
        for _ in range(20):
            clients.send_lookups(0, 1, 2)
        assert not any(process.logged("outlier reported by peers") for process in fleet.processes)
